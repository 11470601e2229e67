package cell

import (
	"slices"
	"time"

	"damsonwinch/pkg/crash"
)

const (
	// maxProbationPercent is the most of a cell's endpoints, in percent, on which tasks are on trial or
	// about to be, or which have ended in trials within backTime: some seconds later they are
	// back. More suspects wait.
	maxProbationPercent = 25
	restartTime         = 3 * time.Second
	// longRunningClearTime is how long a lasting task that was a suspect must have been at work to be
	// one no more.
	longRunningClearTime = 20 * time.Second
	// defaultProbationWait is how long a suspect usually waits for a trial.
	defaultProbationWait = time.Second
	// longRunningWeight weighs a lasting task beside a trial, in short ones: it takes seconds to be
	// at work again elsewhere.
	longRunningWeight = 10
)

// addSuspect puts a task among the suspects if the ends of endpoints under it call for that.
func (c *Cell) addSuspect(t *task) {
	if !t.suspected && !t.done && c.options.CrashRules.IsSuspect(t.crashes) {
		t.suspected, t.probationWaitSince = true, c.now
		c.suspects = append(c.suspects, t)
	}
}

// placeSuspects starts the tasks that must be started on trial: each at an endpoint where
// nothing has begun just now, and none of them beside another.
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

// probationWaitExpired says whether a suspect has waited for a trial for too long.
func (c *Cell) probationWaitExpired(t *task) bool {
	return c.now.Sub(t.probationWaitSince) >= c.maxProbationWait(t)
}

// maxProbationWait returns how long a suspect waits for a trial. Then it starts as any other does: a
// crowd of suspects, most of them sound, must not stand still.
func (c *Cell) maxProbationWait(t *task) time.Duration {
	if c.crashProne[t.phase.job().queue] {
		return crashProneProbationWait
	}
	return defaultProbationWait
}

// pruneSuspects drops what has been settled: tasks and promised endpoints.
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

// chooseProbationEndpoint returns the endpoint for a trial where the least is lost if that ends it.
func (c *Cell) chooseProbationEndpoint(t *task) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if c.noRecentStart(e) && c.canStart(t, e) {
			choice.offer(e, -e.weightAtRisk())
		}
	}
	return choice.best
}

// weightAtRisk weighs what an endpoint takes with it when it ends.
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

// probationAllows says whether a task may start at an endpoint as far as trials go.
func (c *Cell) probationAllows(t *task, e *endpoint) bool {
	if e.probation != nil || e.reservedFor != nil && e.reservedFor != t || !c.separatedFromOtherJobs(t, e) {
		return false
	}
	return !t.suspected || t.phase.spec.Gang || c.probationWaitExpired(t) || c.mayHostProbation(e) && c.noRecentStart(e)
}

// mayHostProbation says whether one more endpoint may be used for a trial.
func (c *Cell) mayHostProbation(e *endpoint) bool {
	if e.reservedFor != nil {
		return true
	}
	share := maxProbationPercent
	if len(c.crashProne) > 0 {
		share = maxCrashProneProbationPercent
	}
	return len(c.probationEndpoints)+c.probationExits.countWithin(c.now, restartTime) < max(1, len(c.sortedEndpoints)*share/fullPercent)
}

// noRecentStart says whether nothing has begun at an endpoint of late that may end it yet.
func (c *Cell) noRecentStart(e *endpoint) bool {
	return !c.startedWithin(e, c.now, c.options.CrashRules.SuspectAge)
}

// startedWithin says whether something has begun at an endpoint within a time before a moment.
func (c *Cell) startedWithin(e *endpoint, at time.Time, length time.Duration) bool {
	return slices.ContainsFunc(e.runsByStart, func(r *run) bool { return at.Sub(r.startedAt) < length })
}

// countExposed counts the endpoints that run something and would end by themselves if they did now.
func (c *Cell) countExposed() int {
	count := 0
	for _, e := range c.sortedEndpoints {
		if len(e.runs) > 0 && e.usable() && !c.startedWithin(e, c.now, c.options.CrashRules.MeasuredSuspectAge()) {
			count++
		}
	}
	return count
}

// reserveForProbation keeps an endpoint for a task until nothing young runs there and there is room.
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

// fitsWithoutShortRuns says whether a task could run at an endpoint once the short tasks there have ended.
func (c *Cell) fitsWithoutShortRuns(t *task, e *endpoint) bool {
	p := t.phase
	if !e.usable() || e.overdue || e.zone.mayBeCutOff() || !c.healthAllows(e) || !e.hasLabel(p.spec.Label) || !c.hasPermit(p, e) {
		return false
	}
	return e.info.Capacity.Minus(e.longRunningNeed()).Holds(p.need()) && (p.spec.MostPerBox == 0 || countOnEndpoint(p, e) < p.spec.MostPerBox)
}

// startProbation notes that a run is on trial: nothing else starts at its endpoint until it has
// outlived that.
func (c *Cell) startProbation(r *run) {
	r.endpoint.probation, r.endpoint.reservedFor = r, nil
	if !slices.Contains(c.probationEndpoints, r.endpoint) {
		c.probationEndpoints = append(c.probationEndpoints, r.endpoint)
	}
}

// checkProbations looks at endpoints where a trial should be over, and clears lasting tasks that
// have been at work for long.
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

// probationEnd returns when a run on trial has outlived it.
func (c *Cell) probationEnd(r *run) time.Time {
	return r.startedAt.Add(c.options.CrashRules.ProbationTime(r.task.crashes))
}

// endProbation ends the trial at an endpoint that has answered a look which was sent after it
// should be over.
func (c *Cell) endProbation(e *endpoint, sentAt time.Time) {
	if e.probation != nil && e.probation.state == runConfirmed && !sentAt.Before(c.probationEnd(e.probation)) {
		e.probation = nil
		c.placementDue = true
	}
}
