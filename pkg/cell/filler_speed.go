package cell

import (
	"time"

	"damsonwinch"
)

// Rules by which filler tasks, which use the CPU that others leave idle, are slowed down in favour
// of serving tasks on the same endpoint. Serving tasks have a target for their tail latency; all
// percentages of tail latency are relative to it.
const (
	// highTailPercent is the tail latency from which filler tasks are slowed down. lowTailPercent
	// is the tail latency below which they may be sped up again.
	highTailPercent = 85
	lowTailPercent  = 60
	// slowdownPercent is what each poll that shows a high tail latency leaves of a filler task's
	// speed. speedupPercent is added to the speed once the tail latency has been low for
	// lowTailTime.
	slowdownPercent = 40
	speedupPercent  = 15
	// minSpeedPercent is the lowest speed of a filler task. Instead of a lower one it gets the
	// speed 0, which pauses it.
	minSpeedPercent = 10
	// speedChangeInterval is the time that a changed speed takes to show: the reported tail latency
	// covers the last half second.
	speedChangeInterval = 600 * time.Millisecond
	lowTailTime         = 1500 * time.Millisecond
)

// SpeedChange is a request to an endpoint to change the speed of a run. The owner passes the reply
// to SpeedSet.
type SpeedChange struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.SpeedRequest
}

// adjustFillerSpeeds slows down the filler tasks on an endpoint while the tail latency of a serving
// task there is high, and speeds them up again once it was low for long enough.
func (c *Cell) adjustFillerSpeeds(e *endpoint) {
	worst := c.worstTailPercent(e)
	switch {
	case worst >= highTailPercent:
		e.lowTailSince = time.Time{}
		c.setFillerSpeeds(e, func(percent int) int {
			if percent*slowdownPercent/fullPercent < minSpeedPercent {
				return 0
			}
			return percent * slowdownPercent / fullPercent
		})
	case worst < lowTailPercent:
		if e.lowTailSince.IsZero() {
			e.lowTailSince = c.now
		}
		if c.now.Sub(e.lowTailSince) >= lowTailTime {
			c.setFillerSpeeds(e, func(percent int) int { return min(fullPercent, percent+speedupPercent) })
		}
	default:
		e.lowTailSince = time.Time{}
	}
}

// worstTailPercent returns the highest tail latency of the serving tasks on an endpoint, in percent
// of the task's target. It returns 0 if no serving task runs there.
func (c *Cell) worstTailPercent(e *endpoint) int {
	worst := 0
	for _, r := range e.runs {
		if target := r.task.phase.spec.TargetMs; target > 0 && !r.stopping {
			worst = max(worst, r.load*fullPercent/target)
		}
	}
	return worst
}

// setFillerSpeeds changes the speeds of the filler tasks on an endpoint, unless the effect of the
// last change can't be seen yet.
func (c *Cell) setFillerSpeeds(e *endpoint, change func(percent int) int) {
	if c.now.Sub(e.speedChangedAt) < speedChangeInterval {
		return
	}
	for _, r := range e.sortedRuns() {
		if !r.task.phase.spec.Fills || r.state != runConfirmed || r.stopping {
			continue
		}
		if next := change(r.speedPercent); next != r.speedPercent {
			r.speedPercent = next
			e.speedChangedAt = c.now
			c.effects.SpeedChanges = append(c.effects.SpeedChanges, SpeedChange{Endpoint: e.info, Request: damsonwinch.SpeedRequest{Run: r.id(), Token: c.token, SpeedPercent: next}})
		}
	}
}

// SpeedSet handles the reply to a SpeedChange, or the error that it failed with.
func (c *Cell) SpeedSet(now time.Time, life damsonwinch.Life, id damsonwinch.Run, err error) {
	c.beginEvent(now)
	r := c.findRun(life, id)
	if r == nil || err == nil {
		return
	}
	c.logRun("speed not set", r, err.Error())
	// The request may not have been carried out. The speed is assumed to be full, so that the next
	// poll may set it again at once.
	r.endpoint.speedChangedAt = time.Time{}
	r.speedPercent = fullPercent
}

// interferes reports whether an endpoint runs tasks that a phase's tasks should not run beside.
// Serving tasks and filler tasks disturb each other, and so do two serving tasks.
func (c *Cell) interferes(p *phase, e *endpoint) bool {
	if !p.spec.Fills && p.spec.TargetMs == 0 {
		return false
	}
	for _, r := range e.runs {
		other := r.task.phase.spec
		if p.spec.Fills && other.TargetMs > 0 || p.spec.TargetMs > 0 && (other.Fills || other.TargetMs > 0) {
			return true
		}
	}
	return false
}
