package cell

import (
	"time"

	"damsonwinch"
)

// Rules by which an endpoint is taken to be unwell.
const (
	// failuresToEject is the number of tasks in a row that must have failed there:
	// healthy endpoints fail two in a thousand, and tasks that fail everywhere are
	// not counted.
	failuresToEject = 2
	// minEjection is how long an endpoint gets no new work at first; each time in
	// a row doubles it, up to mostEjection. The troubles that the users name last
	// five to seven seconds.
	minEjection = 2 * time.Second
	maxEjection = 8 * time.Second
	// maxEjectedPercent is the most that may be ejected of a cell's endpoints, in
	// percent: when more seem unwell, something else is the cause.
	maxEjectedPercent = 34
	// minEjectionBase is the number of endpoints from which that share is taken when
	// there are fewer: one may be ejected then, as long as another is left.
	minEjectionBase = 3
	// stallTime is how long no task of an endpoint may have got on for it to count
	// as standing still.
	stallTime = 1200 * time.Millisecond
	// slowFactor is how many times as long as expected the tasks of an endpoint must
	// take for it to count as slow, and slowEvidence how far that must be beyond
	// chance: the square of the number of standard deviations.
	slowFactor            = 2.5
	slowSquaredDeviations = 16
	// progressSampleTime is how long a sign of a task's pace counts.
	progressSampleTime = 3 * time.Second
)

// health is what is known of how an endpoint does its work.
type health struct {
	// consecutiveFailures counts failed tasks since the last one that was done.
	consecutiveFailures int
	// consecutiveEjections counts consecutiveEjections in a row.
	consecutiveEjections int
	ejectedUntil         time.Time
	// probing says that an ejected endpoint is given one task at a time until one
	// is done.
	probing bool
	// progressSamples tell how fast its tasks get on.
	progressSamples []progressSample
}

// healthAllows says whether an endpoint may be given new work, as far as its health goes.
func (c *Cell) healthAllows(e *endpoint) bool {
	h := &e.health
	if c.now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probing || e.countShortRuns() == 0
}

// countShortRuns counts the runs that end by themselves.
func (e *endpoint) countShortRuns() int {
	count := 0
	for _, r := range e.runs {
		if !r.task.phase.spec.Lasting {
			count++
		}
	}
	return count
}

// recordResult takes what the end of a run tells of its endpoint.
func (c *Cell) recordResult(r *run, how damsonwinch.Ending) {
	h := &r.endpoint.health
	switch how {
	case damsonwinch.EndedDone:
		if h.probing {
			c.logEndpoint("endpoint well again", r.endpoint, "")
		}
		h.consecutiveFailures, h.consecutiveEjections, h.probing = 0, 0, false
	case damsonwinch.EndedFailed:
		if r.task.phase.spec.Lasting {
			return
		}
		if r.task.failedAttempts > 0 {
			// It failed elsewhere, too: the task is to blame.
			return
		}
		h.consecutiveFailures++
		if h.consecutiveFailures >= failuresToEject {
			c.eject(r.endpoint, "tasks fail there")
		}
	}
}

// eject gives an endpoint no new work for a while. It says whether the cell can do
// without it.
func (c *Cell) eject(e *endpoint, why string) bool {
	h := &e.health
	if c.now.Before(h.ejectedUntil) || !c.canEject() {
		return false
	}
	h.ejectedUntil = c.now.Add(min(maxEjection, minEjection<<min(h.consecutiveEjections, 4)))
	h.consecutiveEjections++
	h.probing = true
	h.consecutiveFailures, h.progressSamples = 0, nil
	c.stats.Ejections++
	c.logEndpoint("endpoint ejected", e, why)
	return true
}

// canEject says whether the cell can do without one more endpoint.
func (c *Cell) canEject() bool {
	out, all := 0, 0
	for _, e := range c.sortedEndpoints {
		if !e.usable() {
			continue
		}
		all++
		if c.now.Before(e.health.ejectedUntil) {
			out++
		}
	}
	return out+1 < all && (out+1)*100 <= max(all, minEjectionBase)*maxEjectedPercent
}

// checkProgress draws conclusions from how far the tasks of an endpoint get.
func (c *Cell) checkProgress(e *endpoint) {
	if c.isStalled(e) {
		if c.eject(e, "its tasks stand still") {
			c.moveRunsAway(e, 0)
		}
		return
	}
	if times := e.health.slowness(c.now); times >= slowFactor && c.eject(e, "its tasks are slow") {
		c.moveRunsAway(e, times)
	}
}

// isStalled says whether an endpoint has tasks and none has got on for a while.
func (c *Cell) isStalled(e *endpoint) bool {
	tasks := 0
	for _, r := range e.runs {
		if r.task.phase.spec.Lasting || r.state != runConfirmed || r.stopping || r.percent >= fullPercent {
			continue
		}
		tasks++
		if c.now.Sub(r.progress.advancedAt) < stallTime+c.options.RestoreTime {
			return false
		}
	}
	return tasks > 0 && !e.silent
}

// moveRunsAway runs the tasks of an unwell endpoint elsewhere, where that is sooner. It
// takes so many times as long there, or for ever when times is 0.
func (c *Cell) moveRunsAway(e *endpoint, times float64) {
	c.startSpeculativeAttempts(e)
	for _, r := range e.sortedRuns() {
		if r.stopping || r.state != runConfirmed || r.task.phase.spec.Lasting || r.task.phase.spec.Copies || !c.fitsElsewhere(r) {
			continue
		}
		here := r.remainingMs()
		if times > 0 && here > 0 && here < c.restartElsewhereMs(r, here/times) {
			continue
		}
		c.stop(r, "its endpoint is unwell")
	}
}

// fitsElsewhere says whether another endpoint that is well has room for a run, now or once
// short tasks have ended there. The largest ones may have no other place than where they
// are, and come to nothing if they are stopped there again and again.
func (c *Cell) fitsElsewhere(r *run) bool {
	for _, e := range c.sortedEndpoints {
		if e != r.endpoint && e.usable() && !c.now.Before(e.health.ejectedUntil) && e.info.Capacity.Minus(e.longRunningNeed()).Holds(r.task.phase.need()) {
			return true
		}
	}
	return false
}

// restartElsewhereMs estimates how long a run would take on another endpoint, where what
// is left of it here takes leftMs.
func (c *Cell) restartElsewhereMs(r *run, leftMs float64) float64 {
	stop := float64(c.options.MaxStopTime.Milliseconds())
	if r.task.phase.spec.Checkpoints {
		return stop + float64(c.options.RestoreTime.Milliseconds()) + leftMs
	}
	return stop + float64(c.statsOf(r.task.phase.job().queue).times.estimate(r.task.phase.spec.EstimateMs))
}
