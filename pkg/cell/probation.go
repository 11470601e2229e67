package cell

import (
	"slices"
	"time"

	"damsonwinch/pkg/crash"
)

const (
	// longRunningClearTime is how long ago a long-running suspect that has reached full progress
	// must have started to be no longer a suspect.
	longRunningClearTime = 20 * time.Second
	// longRunningWeight is the number of short tasks that a long-running one counts for when an
	// endpoint for a probation is chosen. It takes seconds until the task is available again
	// elsewhere.
	longRunningWeight = 10
)

// addSuspect adds a task to the suspects if the losses of endpoints under it make it one by the
// CrashRules.
func (c *Cell) addSuspect(t *task) {
	if !t.suspected && !t.done && c.options.CrashRules.IsSuspect(t.crashes) {
		t.suspected, t.probationWaitSince = true, c.now
		c.suspects = append(c.suspects, t)
	}
}

// placeSuspects starts suspects on probation, each on an endpoint where nothing else has started
// recently. If there is none, it reserves an endpoint.
func (c *Cell) placeSuspects() {
	if len(c.suspects) == 0 {
		return
	}
	c.pruneSuspects()
	for _, t := range c.suspects {
		if !t.ready || len(t.runs) > 0 || t.phase.spec.Gang || c.mustWait(t) || !c.withinQuota(t.phase, 1) {
			continue
		}
		if e := c.chooseProbationEndpoint(t); e != nil {
			t.phase.removeReady(t)
			c.planRun(t, e)
		} else if !c.mayStartBesideOthers(t) {
			c.reserveForProbation(t)
		}
	}
}

// probationWaitExpired reports whether a suspect has waited for probation for maxProbationWait.
func (c *Cell) probationWaitExpired(t *task) bool {
	return c.now.Sub(t.probationWaitSince) >= c.maxProbationWait(t)
}

// mayStartBesideOthers reports whether a suspect may be started like any other task, because it has waited
// too long for probation. A task whose starts are counted never may: it would be given up for what others
// cause.
func (c *Cell) mayStartBesideOthers(t *task) bool {
	return c.probationWaitExpired(t) && !c.options.CrashRules.CountsStarts(t.crashes)
}

// awaitsProbation reports whether a task may only be started on probation.
func (c *Cell) awaitsProbation(t *task) bool {
	return t.suspected && !t.phase.spec.Gang && !c.mayStartBesideOthers(t)
}

// maxProbationWait returns how long a suspect waits for probation.
func (c *Cell) maxProbationWait(t *task) time.Duration {
	return crash.MaxProbationWait(c.crashQueues.IsProne(t.phase.job().queue))
}

// pruneSuspects removes the suspects that are done, whose jobs have ended or that are no longer
// suspected, and the reservations that are no longer needed. It sorts the other suspects by
// urgency, late ones last.
func (c *Cell) pruneSuspects() {
	c.suspects = slices.DeleteFunc(c.suspects, func(t *task) bool {
		if t.done || t.phase.job().ended() {
			t.suspected = false
		}
		return !t.suspected
	})
	c.probationEndpoints = slices.DeleteFunc(c.probationEndpoints, func(e *endpoint) bool {
		if t := e.reservedFor; t != nil && !c.needsProbationOn(t, e) {
			e.reservedFor = nil
		}
		return e.probation == nil && e.reservedFor == nil
	})
	nowMs := int(c.now.UnixMilli())
	slices.SortStableFunc(c.suspects, func(a, b *task) int {
		late := a.phase.isLate(nowMs)
		switch {
		case late == b.phase.isLate(nowMs):
			return comparePhases(a.phase, b.phase)
		case late:
			return 1
		}
		return -1
	})
}

// needsProbationOn reports whether an endpoint that is reserved for a task's probation remains so.
func (c *Cell) needsProbationOn(t *task, e *endpoint) bool {
	return t.suspected && t.ready && !c.mayStartBesideOthers(t) && !c.waitsForAllowance(t.phase) && c.fitsWithoutShortRuns(t, e)
}

// chooseProbationEndpoint returns the endpoint for a task's probation, or nil if none can start the
// task. Of several it takes the one whose crash would lose the least, and first those that haven't refused the task.
func (c *Cell) chooseProbationEndpoint(t *task) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if c.noRecentStart(e) && c.canStart(t, e) {
			choice.offer(e, t.refusalScore(e)-e.weightAtRisk())
		}
	}
	return choice.best
}

// weightAtRisk returns the weight of the runs that would be lost if the endpoint exited: 1 for a
// short task, longRunningWeight for a long-running one.
func (e *endpoint) weightAtRisk() int {
	sum := 0
	for _, r := range e.runsByStart {
		if r.task.phase.spec.Lasting {
			sum += longRunningWeight
		} else {
			sum++
		}
	}
	return sum
}

// probationAllows reports whether the rules of probation allow a task to start on an endpoint.
// Nothing starts where a task is on probation, or on an endpoint that is reserved for another task.
// A suspect starts only on probation, unless it has waited for that too long.
func (c *Cell) probationAllows(t *task, e *endpoint) bool {
	if e.probation != nil || e.reservedFor != nil && e.reservedFor != t || !c.separatedFromOtherJobs(t, e) {
		return false
	}
	return !t.suspected || t.phase.spec.Gang || c.mayStartBesideOthers(t) || c.mayHostProbation(t, e) && c.noRecentStart(e)
}

// mayHostProbation reports whether an endpoint may be used for a task's probation: it is reserved for one,
// or the share of the cell's endpoints that probations take up is below the limit.
func (c *Cell) mayHostProbation(t *task, e *endpoint) bool {
	inUse, total := len(c.probationEndpoints), len(c.sortedEndpoints)
	if e.reservedFor != nil || c.probationLimit.Allows(c.now, inUse, total, c.crashQueues.AnyProne()) {
		return true
	}
	return c.probationWaitExpired(t) && crash.AllowsOverdueProbation(inUse, total)
}

// noRecentStart reports whether no run has started on an endpoint within the last SuspectAge. A
// younger run might still crash the endpoint.
func (c *Cell) noRecentStart(e *endpoint) bool {
	return !c.startedWithin(e, c.now, c.options.CrashRules.SuspectAge)
}

// startedWithin reports whether a run started on an endpoint within the given window before a time.
func (c *Cell) startedWithin(e *endpoint, at time.Time, window time.Duration) bool {
	return slices.ContainsFunc(e.runsByStart, func(r *run) bool { return at.Sub(r.startedAt) < window })
}

// countExposed returns the number of endpoints that count as exposed for the baseline exit rate:
// they run something, and nothing has started there recently.
func (c *Cell) countExposed() int {
	count := 0
	for _, e := range c.sortedEndpoints {
		if len(e.runs) > 0 && e.usable() && !c.startedWithin(e, c.now, c.options.CrashRules.MeasuredSuspectAge()) {
			count++
		}
	}
	return count
}

// reserveForProbation reserves an endpoint for a task's probation, if one is suitable. The task
// starts there once nothing has started recently and there is enough free capacity.
func (c *Cell) reserveForProbation(t *task) {
	if slices.ContainsFunc(c.probationEndpoints, func(e *endpoint) bool { return e.reservedFor == t }) {
		return
	}
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.probation == nil && e.reservedFor == nil && len(e.reservedTasks) == 0 && c.mayHostProbation(t, e) && c.fitsWithoutShortRuns(t, e) {
			choice.offer(e, t.refusalScore(e)-e.weightAtRisk())
		}
	}
	if choice.best != nil {
		choice.best.reservedFor = t
		c.probationEndpoints = append(c.probationEndpoints, choice.best)
	}
}

// fitsWithoutShortRuns reports whether a task could run on an endpoint once the short runs there
// have ended.
func (c *Cell) fitsWithoutShortRuns(t *task, e *endpoint) bool {
	return c.fitsBesideLongRunning(t, e) && c.mayGetPermit(t.phase, e)
}

// fitsBesideLongRunning does the same as fitsWithoutShortRuns, apart from permits.
func (c *Cell) fitsBesideLongRunning(t *task, e *endpoint) bool {
	p := t.phase
	if c.endpointObstacle(e) != noObstacle || p.spec.Lasting && c.refusesStarts(e) || !e.hasLabel(p.spec.Label) {
		return false
	}
	return e.info.Capacity.Minus(e.longRunningNeed()).Holds(p.need()) && (p.spec.MostPerBox == 0 || countOnEndpoint(p, e) < p.spec.MostPerBox)
}

// startProbation puts a run on probation: nothing else starts on its endpoint until the run has
// outlived its probation.
func (c *Cell) startProbation(r *run) {
	r.endpoint.probation, r.endpoint.reservedFor = r, nil
	if !slices.Contains(c.probationEndpoints, r.endpoint) {
		c.probationEndpoints = append(c.probationEndpoints, r.endpoint)
	}
}

// checkProbations polls the endpoints where a probation should be over. It also clears the
// long-running suspects that have run for longRunningClearTime.
func (c *Cell) checkProbations() {
	for _, e := range c.probationEndpoints {
		if e.probation != nil && e.probation.state == runConfirmed && !c.now.Before(c.probationEnd(e.probation)) {
			c.requestPoll(e)
		}
	}
	for _, t := range c.suspects {
		if !t.phase.spec.Lasting || len(t.runs) == 0 {
			continue
		}
		if r := t.runs[0]; r.percent >= fullPercent && c.now.Sub(r.startedAt) >= longRunningClearTime {
			t.crashes, t.suspected = crash.History{}, false
			c.markDirty(t.phase.job())
		}
	}
}

// probationEnd returns when a run on probation will have outlived its probation.
func (c *Cell) probationEnd(r *run) time.Time {
	return r.startedAt.Add(c.options.CrashRules.ProbationTime(r.task.crashes))
}

// endProbation ends the probation on an endpoint if the run there had outlived it by sentAt, when a
// poll was sent that the endpoint has answered.
func (c *Cell) endProbation(e *endpoint, sentAt time.Time) {
	if e.probation != nil && e.probation.state == runConfirmed && !sentAt.Before(c.probationEnd(e.probation)) {
		e.probation = nil
		c.placementDue = true
	}
}
