package cell

import (
	"time"

	"damsonwinch"
)

// Rules by which tasks that fill are held back beside tasks that serve users.
const (
	// highTailPercent is the part of its target, in percent, at which a serving task's
	// tail calls for less beside it, and farFromTarget the part under which there
	// may be more.
	highTailPercent = 85
	lowTailPercent  = 60
	// slowdownPercent is what is left of a filling task's speed, in percent, after each
	// look that shows too much, and paceUp what it gets back after calmTime.
	slowdownPercent = 40
	speedupPercent  = 15
	// minSpeedPercent is the speed, in percent, under which a filling task stands still.
	minSpeedPercent = 10
	// speedChangeInterval is the time that a changed speed takes to show: the tail is a figure
	// of the last half second.
	speedChangeInterval = 600 * time.Millisecond
	lowTailTime         = 1500 * time.Millisecond
)

// SpeedChange is an order to an endpoint.
type SpeedChange struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.SpeedRequest
}

// adjustFillerSpeeds holds back what fills an endpoint as long as what serves there needs it.
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

// worstTailPercent returns the highest tail of the serving tasks at an endpoint, in
// percent of its target; 0 if none serves there.
func (c *Cell) worstTailPercent(e *endpoint) int {
	worst := 0
	for _, r := range e.runs {
		if target := r.task.phase.spec.TargetMs; target > 0 && !r.stopping {
			worst = max(worst, r.load*fullPercent/target)
		}
	}
	return worst
}

// setFillerSpeeds changes the speed of the filling tasks at an endpoint, unless the last
// change can't have shown yet.
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

// SpeedSet takes the answer to an order on a run's speed. One that was not answered
// may not have been done: the next look tells.
func (c *Cell) SpeedSet(now time.Time, at damsonwinch.Life, which damsonwinch.Run, err error) {
	c.beginEvent(now)
	r := c.findRun(at, which)
	if r == nil || err == nil {
		return
	}
	c.logRun("pace not set", r, err.Error())
	// It is set again with the next change; until then nothing is taken for sure.
	r.endpoint.speedChangedAt = time.Time{}
	r.speedPercent = fullPercent
}

// interferes says whether an endpoint runs tasks that a phase's should not stand
// beside: what serves and what fills disturb each other.
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
