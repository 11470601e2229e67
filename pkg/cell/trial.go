package cell

import (
	"slices"
	"time"

	"damsonwinch/pkg/crash"
)

const (
	// maxProbationPercent is the highest percentage of a cell's endpoints on which tasks may be on
	// probation or about to be, or that may have exited with a task on probation within
	// restartTime: some seconds later they are back. Further suspects wait.
	maxProbationPercent = 25
	restartTime         = 3 * time.Second
	// longRunningClearTime is how long a long-running task that is a suspect must have been at work
	// to be cleared.
	longRunningClearTime = 20 * time.Second
	// defaultProbationWait is how long a suspect waits for probation if its queue isn't
	// crash-prone.
	defaultProbationWait = time.Second
	// longRunningWeight is the number of short tasks that a long-running one counts for when an
	// endpoint for a probation is chosen. It takes seconds until the task is at work again
	// elsewhere.
	longRunningWeight = 10
)

// addSuspect adds a task to the suspects if the losses under it call for that.
func (c *Cell) addSuspect(t *task) {
	if !t.suspected && !t.done && c.options.CrashRules.IsSuspect(t.crashes) {
		t.suspected, t.probationWaitSince = true, c.now
		c.suspects = append(c.suspects, t)
	}
}

// placeSuspects starts suspects on probation, each on an endpoint where nothing else has started
// recently.
func (c *Cell) placeSuspects() {
	if len(c.suspects) == 0 {
		return
	}
	c.pruneSuspects()
	for _, t := range c.suspects {
		if !t.ready || len(t.runs) > 0 || t.phase.spec.Gang || c.mustWait(t) {
			continue
		}
		if !c.withinQuota(t.phase, 1) {
			continue
		}
		if e := c.chooseProbationEndpoint(t); e != nil {
			t.phase.removeReady(t)
			c.planRun(t, e)
		} else if !c.probationWaitExpired(t) {
			c.reserveForProbation(t)
		}
	}
}

// probationWaitExpired reports whether a suspect has waited too long for probation.
func (c *Cell) probationWaitExpired(t *task) bool {
	return c.now.Sub(t.probationWaitSince) >= c.maxProbationWait(t)
}

// maxProbationWait returns how long a suspect waits for probation. After that it starts like any
// other task: a large number of suspects, most of them sound, must not be held up.
func (c *Cell) maxProbationWait(t *task) time.Duration {
	if c.crashProne[t.phase.job().queue] {
		return crashProneProbationWait
	}
	return defaultProbationWait
}

// pruneSuspects removes suspects that are finished and reservations that are no longer needed, and
// sorts the other suspects by urgency, late ones last.
func (c *Cell) pruneSuspects() {
	c.suspects = slices.DeleteFunc(c.suspects, func(t *task) bool {
		if t.done || t.phase.job().ended() {
			t.suspected = false
		}
		return !t.suspected
	})
	c.probationEndpoints = slices.DeleteFunc(c.probationEndpoints, func(e *endpoint) bool {
		if t := e.reservedFor; t != nil && (!t.suspected || !t.ready || !e.usable() || c.probationWaitExpired(t)) {
			e.reservedFor = nil
		}
		return e.probation == nil && e.reservedFor == nil
	})
	nowMs := int(c.now.UnixMilli())
	slices.SortStableFunc(c.suspects, func(a, b *task) int {
		if late := a.phase.isLate(nowMs); late != b.phase.isLate(nowMs) {
			if late {
				return 1
			}
			return -1
		}
		return comparePhases(a.phase, b.phase)
	})
}

// chooseProbationEndpoint returns the endpoint for a probation where the least is lost if it
// crashes, or nil if none can start the task.
func (c *Cell) chooseProbationEndpoint(t *task) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if c.noRecentStart(e) && c.canStart(t, e) {
			choice.offer(e, -e.weightAtRisk())
		}
	}
	return choice.best
}

// weightAtRisk returns the weight of the runs that are lost if an endpoint exits, in short tasks.
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
// Nothing starts where a probation is under way or which is reserved for that of another task. A
// suspect starts only on probation, unless it has waited for that too long.
func (c *Cell) probationAllows(t *task, e *endpoint) bool {
	if e.probation != nil || e.reservedFor != nil && e.reservedFor != t || !c.separatedFromOtherJobs(t, e) {
		return false
	}
	return !t.suspected || t.phase.spec.Gang || c.probationWaitExpired(t) || c.mayHostProbation(e) && c.noRecentStart(e)
}

// mayHostProbation reports whether an endpoint is reserved for a probation, or one more may be used
// for that.
func (c *Cell) mayHostProbation(e *endpoint) bool {
	if e.reservedFor != nil {
		return true
	}
	maxPercent := maxProbationPercent
	if len(c.crashProne) > 0 {
		maxPercent = maxCrashProneProbationPercent
	}
	return len(c.probationEndpoints)+c.probationExits.countWithin(c.now, restartTime) < max(1, len(c.sortedEndpoints)*maxPercent/fullPercent)
}

// noRecentStart reports whether nothing has started on an endpoint so recently that it may still
// crash it.
func (c *Cell) noRecentStart(e *endpoint) bool {
	return !c.startedWithin(e, c.now, c.options.CrashRules.SuspectAge)
}

// startedWithin reports whether something started on an endpoint within a window before a time.
func (c *Cell) startedWithin(e *endpoint, at time.Time, window time.Duration) bool {
	return slices.ContainsFunc(e.runsByStart, func(r *run) bool { return at.Sub(r.startedAt) < window })
}

// countExposed returns the number of endpoints whose exit now would count as baseline: they run
// something, and nothing has started there recently.
func (c *Cell) countExposed() int {
	count := 0
	for _, e := range c.sortedEndpoints {
		if len(e.runs) > 0 && e.usable() && !c.startedWithin(e, c.now, c.options.CrashRules.MeasuredSuspectAge()) {
			count++
		}
	}
	return count
}

// reserveForProbation reserves an endpoint for a task's probation. The task starts once nothing has
// started there recently and there is enough free capacity.
func (c *Cell) reserveForProbation(t *task) {
	if slices.ContainsFunc(c.probationEndpoints, func(e *endpoint) bool { return e.reservedFor == t }) {
		return
	}
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.probation == nil && e.reservedFor == nil && c.mayHostProbation(e) && c.fitsWithoutShortRuns(t, e) {
			choice.offer(e, -e.weightAtRisk())
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
	p := t.phase
	if !e.usable() || e.overdue || e.zone.mayBeCutOff() || !c.healthAllows(e) || !e.hasLabel(p.spec.Label) || !c.hasPermit(p, e) {
		return false
	}
	return e.info.Capacity.Minus(e.longRunningNeed()).Holds(p.need()) && (p.spec.MostPerBox == 0 || countOnEndpoint(p, e) < p.spec.MostPerBox)
}

// startProbation puts a run on probation: nothing else starts on its endpoint until the run has
// outlived it.
func (c *Cell) startProbation(r *run) {
	r.endpoint.probation, r.endpoint.reservedFor = r, nil
	if !slices.Contains(c.probationEndpoints, r.endpoint) {
		c.probationEndpoints = append(c.probationEndpoints, r.endpoint)
	}
}

// checkProbations polls the endpoints where a probation should be over, and clears long-running
// suspects that have been at work for long enough.
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

// probationEnd returns when a run on probation will have outlived it.
func (c *Cell) probationEnd(r *run) time.Time {
	return r.startedAt.Add(c.options.CrashRules.ProbationTime(r.task.crashes))
}

// endProbation ends the probation on an endpoint that has answered a poll sent at sentAt, if the
// run had outlived it by then.
func (c *Cell) endProbation(e *endpoint, sentAt time.Time) {
	if e.probation != nil && e.probation.state == runConfirmed && !sentAt.Before(c.probationEnd(e.probation)) {
		e.probation = nil
		c.placementDue = true
	}
}
