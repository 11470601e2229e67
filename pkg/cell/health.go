package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/slowness"
)

// Rules by which an endpoint counts as unhealthy.
const (
	// failuresToEject is the number of tasks in a row that must have failed on an endpoint to eject
	// it. On healthy endpoints two tasks in a thousand fail. Tasks that have also failed elsewhere
	// are not counted.
	failuresToEject = 2
	// minEjection is how long an endpoint gets no new work after its first ejection. Each further
	// ejection without a done task in between doubles the time, up to maxEjection. Disturbances
	// that users report last five to seven seconds.
	minEjection = 2 * time.Second
	maxEjection = 8 * time.Second
	// maxEjectedPercent is the highest percentage of a cell's endpoints that may be ejected. When
	// more seem unhealthy, something else is the cause.
	maxEjectedPercent = 34
	// minEjectionBase is the number of endpoints that maxEjectedPercent is taken of in smaller
	// cells, so that one of two endpoints may be ejected.
	minEjectionBase = 3
	// maxProbeTime is how long a task that makes progress may hold an endpoint as its only short task. Most of the
	// users' tasks take less.
	maxProbeTime = 5 * time.Second
	// stallTime is how long none of an endpoint's tasks may have made progress before the endpoint
	// counts as stalled. The time to restore a checkpoint is added to it.
	stallTime = 1200 * time.Millisecond
	// slowFactor is how many times as long as expected the tasks of an endpoint must take for it to
	// count as slow.
	slowFactor = 2.5
)

// health is what an owner has observed of how well an endpoint does its work.
type health struct {
	// consecutiveFailures counts the tasks that have failed on the endpoint since the last one that
	// was done or the last ejection.
	consecutiveFailures int
	// consecutiveEjections counts the ejections since the last task that was done.
	consecutiveEjections int
	ejectedUntil         time.Time
	// probing is set after an ejection, until a task is done or limitProbed ends it: the endpoint gets
	// one short task at a time.
	probing bool
	// progressSamples holds recent samples of the progress of the endpoint's tasks.
	progressSamples slowness.Samples
}

// healthAllows reports whether an endpoint's health allows new work there: it is not ejected, and
// if it is being probed, no short task runs there.
func (c *Cell) healthAllows(e *endpoint) bool {
	h := &e.health
	if c.now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probing || e.countShortRuns() == 0
}

// limitProbed puts endpoints back into use that are held by a probe which has not ended: those whose tasks have made
// progress for maxProbeTime and, while too many are excluded, those that have been held for longest. A task that takes
// long would hold its endpoint for as long.
func (c *Cell) limitProbed() {
	held := c.heldByProbes()
	excluded, usable := c.countExcluded()
	excluded += len(held)
	for _, e := range held {
		switch {
		case !mayBeExcluded(excluded, usable):
			c.endProbing(e, "too few others are left")
		case c.now.Sub(e.heldSince()) >= maxProbeTime && !c.isStalled(e):
			c.endProbing(e, "its tasks make progress")
		default:
			continue
		}
		excluded--
	}
}

// endProbing lets an endpoint get work like any other, although no task has been done there since its ejection.
func (c *Cell) endProbing(e *endpoint, reason string) {
	e.health.probing = false
	c.placementDue = true
	c.logEndpoint("endpoint used although unhealthy", e, reason)
}

// heldByProbes returns the usable endpoints that get no work only because a short task probes them, the one that has
// been held for longest first.
func (c *Cell) heldByProbes() []*endpoint {
	var held []*endpoint
	for _, e := range c.sortedEndpoints {
		if e.usable() && !e.suspected && !c.now.Before(e.health.ejectedUntil) && !c.healthAllows(e) {
			held = append(held, e)
		}
	}
	slices.SortStableFunc(held, func(a, b *endpoint) int { return a.heldSince().Compare(b.heldSince()) })
	return held
}

// heldSince returns since when a short task has been the only one that an endpoint gets: since its start, or the end of
// the ejection if that was later.
func (e *endpoint) heldSince() time.Time {
	for _, r := range e.runsByStart {
		if !r.task.phase.spec.Lasting && r.startedAt.After(e.health.ejectedUntil) {
			return r.startedAt
		}
	}
	return e.health.ejectedUntil
}

// countShortRuns returns the number of runs that are not long-running.
func (e *endpoint) countShortRuns() int {
	count := 0
	for _, r := range e.runs {
		if !r.task.phase.spec.Lasting {
			count++
		}
	}
	return count
}

// updateHealth counts the result of a run for the health of its endpoint, and ejects the endpoint
// if too many tasks in a row have failed there.
func (c *Cell) updateHealth(r *run, ending damsonwinch.Ending) {
	h := &r.endpoint.health
	switch ending {
	case damsonwinch.EndedDone:
		if h.probing {
			c.logEndpoint("endpoint healthy again", r.endpoint, "")
		}
		h.consecutiveFailures, h.consecutiveEjections, h.probing = 0, 0, false
	case damsonwinch.EndedFailed:
		if r.task.phase.spec.Lasting {
			return
		}
		// The task has failed elsewhere as well, so it is to blame and not the endpoint.
		if r.task.failedAttempts > 0 {
			return
		}
		h.consecutiveFailures++
		if h.consecutiveFailures >= failuresToEject {
			c.eject(r.endpoint, "tasks fail there")
		}
	}
}

// eject gives an endpoint no new work for a while, and returns true. It does nothing and returns
// false if the endpoint is ejected already or the cell can't do without it.
func (c *Cell) eject(e *endpoint, reason string) bool {
	h := &e.health
	if c.now.Before(h.ejectedUntil) || !c.canEject() {
		return false
	}
	h.ejectedUntil = c.now.Add(min(maxEjection, minEjection<<min(h.consecutiveEjections, 4)))
	h.consecutiveEjections++
	h.probing = true
	h.consecutiveFailures, h.progressSamples = 0, slowness.Samples{}
	c.stats.Ejections++
	c.logEndpoint("endpoint ejected", e, reason)
	return true
}

// canEject reports whether the cell can do without one more endpoint: one that is usable and not
// ejected would be left, and at most maxEjectedPercent would be ejected
// or suspected.
func (c *Cell) canEject() bool {
	excluded, usable := c.countExcluded()
	return excluded+1 < usable && (excluded+1)*100 <= max(usable, minEjectionBase)*maxEjectedPercent
}

// checkProgress ejects an endpoint whose tasks are stalled or slow, and moves runs away from it.
func (c *Cell) checkProgress(e *endpoint) {
	if c.isStalled(e) {
		if c.eject(e, "its tasks make no progress") {
			c.moveRunsAway(e, 0)
		}
		return
	}
	if factor := e.health.progressSamples.Factor(c.now); factor >= slowFactor && c.eject(e, "its tasks are slow") {
		c.moveRunsAway(e, factor)
	}
}

// isStalled reports whether an endpoint runs short tasks at full speed of which none has made progress for
// stallTime plus RestoreTime.
func (c *Cell) isStalled(e *endpoint) bool {
	tasks := 0
	for _, r := range e.runs {
		if r.task.phase.spec.Lasting || r.state != runConfirmed || r.stopping || r.percent >= fullPercent || r.isSlowed() {
			continue
		}
		tasks++
		if c.now.Sub(r.lastAdvancedAt()) < stallTime+c.options.RestoreTime {
			return false
		}
	}
	return tasks > 0 && !e.silent
}

// lastAdvancedAt returns when the run was last seen to have made progress. Until a poll has listed it, that is
// when its start was confirmed, and after it has been slowed down, when it was back at full speed.
func (r *run) lastAdvancedAt() time.Time {
	last := r.confirmedAt
	for _, at := range []time.Time{r.progress.AdvancedAt(), r.fullSpeedSince} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// moveRunsAway stops the runs on an unhealthy endpoint that would finish sooner elsewhere. If a
// phase allows speculative attempts, its runs are not stopped but get another attempt elsewhere.
// slowness is how many times as long as elsewhere runs take on the endpoint; with 0 they never end
// there.
func (c *Cell) moveRunsAway(e *endpoint, slowness float64) {
	c.startSpeculativeAttempts(e)
	for _, r := range e.sortedRuns() {
		if r.stopping || r.state != runConfirmed || r.task.phase.spec.Lasting || r.task.phase.spec.Copies || !c.fitsElsewhere(r) {
			continue
		}
		remaining := r.progress.RemainingMs()
		if slowness > 0 && remaining > 0 && remaining < c.restartElsewhereMs(r, remaining/slowness) {
			continue
		}
		c.stop(r, "its endpoint is unwell")
	}
}

// fitsElsewhere reports whether another endpoint that is neither ejected nor suspected has capacity for a run, now or
// once its short tasks have ended, and may run it. The largest tasks may fit only where they are, and would never
// finish if they were stopped there again and again.
func (c *Cell) fitsElsewhere(r *run) bool {
	p := r.task.phase
	for _, e := range c.sortedEndpoints {
		if e == r.endpoint || !e.usable() || e.suspected || c.now.Before(e.health.ejectedUntil) || !c.mayEverRun(p, e) {
			continue
		}
		if e.info.Capacity.Minus(e.longRunningNeed()).Holds(p.need()) {
			return true
		}
	}
	return false
}

// mayEverRun reports whether nothing that lasts keeps a phase's tasks off an endpoint: it has their label, and the advice
// service has not decided against it.
func (c *Cell) mayEverRun(p *phase, e *endpoint) bool {
	return e.hasLabel(p.spec.Label) && (!c.needsPermit(p) || !p.permits.Refused(e.info.Life))
}

// restartElsewhereMs estimates how many milliseconds it takes to stop a run here and finish its
// task on another endpoint. remainingMs is the time that the remaining work takes at normal speed.
func (c *Cell) restartElsewhereMs(r *run, remainingMs float64) float64 {
	stopMs := float64(c.options.MaxStopTime.Milliseconds())
	if r.task.phase.spec.Checkpoints {
		return stopMs + float64(c.options.RestoreTime.Milliseconds()) + remainingMs
	}
	return stopMs + float64(c.workload.Of(r.task.phase.job().queue).EstimateMs(r.task.phase.spec.EstimateMs))
}
