package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fillerspeed"
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
	change := e.fillerSpeed.Observe(c.now, c.worstTailPercent(e))
	if change == fillerspeed.None {
		return
	}
	for _, r := range e.sortedRuns() {
		if !r.task.phase.spec.Fills || r.state != runConfirmed || r.stopping {
			continue
		}
		if next := change.Apply(r.speedPercent); next != r.speedPercent {
			c.requestSpeed(r, next)
			e.fillerSpeed.Changed(c.now)
		}
	}
}

// requestSpeed requests a speed of a run.
func (c *Cell) requestSpeed(r *run, percent int) {
	r.setSpeed(c.now, percent)
	c.effects.SpeedChanges = append(c.effects.SpeedChanges, SpeedChange{Endpoint: r.endpoint.info, Request: damsonwinch.SpeedRequest{Run: r.id(), Token: c.token, SpeedPercent: percent}})
}

// slowNewFiller slows a filler task that has just begun down to the speed of the others on its endpoint, or of the last one
// that was there just before. Short ones would otherwise all run at full speed, and be done before it is changed.
func (c *Cell) slowNewFiller(r *run) {
	if !r.task.phase.spec.Fills || r.inherited || r.stopping {
		return
	}
	percent := r.endpoint.lastFiller.Percent(c.now)
	for _, other := range r.endpoint.runs {
		if other != r && other.task.phase.spec.Fills && other.state == runConfirmed {
			percent = min(percent, other.speedPercent)
		}
	}
	if percent < r.speedPercent {
		c.requestSpeed(r, percent)
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

// SpeedSet handles the reply to a SpeedChange that was sent to life, or the error that it failed with.
func (c *Cell) SpeedSet(now time.Time, life damsonwinch.Life, id damsonwinch.Run, err error) {
	c.beginEvent(now)
	r := c.findRun(life, id)
	if r == nil || !r.isOn(life) || err == nil {
		return
	}
	c.logRun("speed not set", r, err.Error())
	// The request may not have been carried out. The speed is assumed to be full, so that the next
	// poll may set it again at once.
	r.endpoint.fillerSpeed.ChangeFailed()
	r.setSpeed(now, fullPercent)
}

// setSpeed notes the speed that is requested for the run.
func (r *run) setSpeed(now time.Time, percent int) {
	r.speedPercent = percent
	if percent == fullPercent {
		r.fullSpeedSince = now
	}
}

// isSlowed reports whether the run has been slowed down, so that its progress says nothing of its endpoint.
func (r *run) isSlowed() bool {
	return r.task.phase.spec.Fills && r.speedPercent < fullPercent
}

// wasSlowed reports whether the run is or was slowed down, so that its duration isn't the time that the task takes.
func (r *run) wasSlowed() bool {
	return r.isSlowed() || !r.fullSpeedSince.IsZero()
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
