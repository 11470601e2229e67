package cell

import (
	"time"

	"damsonwinch"
)

// Rules by which tasks that fill are held back beside tasks that serve users.
const (
	// nearTarget is the part of its target, in percent, at which a serving task's
	// tail calls for less beside it, and farFromTarget the part under which there
	// may be more.
	nearTarget    = 85
	farFromTarget = 60
	// paceDown is what is left of a filling task's speed, in percent, after each
	// look that shows too much, and paceUp what it gets back after calmTime.
	paceDown = 40
	paceUp   = 15
	// leastPace is the speed, in percent, under which a filling task stands still.
	leastPace = 10
	// paceGap is the time that a changed speed takes to show: the tail is a figure
	// of the last half second.
	paceGap  = 600 * time.Millisecond
	calmTime = 1500 * time.Millisecond
)

// Pace is an order to an endpoint.
type Pace struct {
	At    damsonwinch.Endpoint
	Order damsonwinch.SpeedRequest
}

// share holds back what fills an endpoint as long as what serves there needs it.
func (c *Cell) share(e *endpoint) {
	worst := c.worstTail(e)
	switch {
	case worst >= nearTarget:
		e.calmSince = time.Time{}
		c.setPaces(e, func(percent int) int {
			if percent*paceDown/fullPercent < leastPace {
				return 0
			}
			return percent * paceDown / fullPercent
		})
	case worst < farFromTarget:
		if e.calmSince.IsZero() {
			e.calmSince = c.now
		}
		if c.now.Sub(e.calmSince) >= calmTime {
			c.setPaces(e, func(percent int) int { return min(fullPercent, percent+paceUp) })
		}
	default:
		e.calmSince = time.Time{}
	}
}

// worstTail returns the highest tail of the serving tasks at an endpoint, in
// percent of its target; 0 if none serves there.
func (c *Cell) worstTail(e *endpoint) int {
	worst := 0
	for _, r := range e.runs {
		if target := r.task.phase.spec.TargetMs; target > 0 && !r.stopping {
			worst = max(worst, r.load*fullPercent/target)
		}
	}
	return worst
}

// setPaces changes the speed of the filling tasks at an endpoint, unless the last
// change can't have shown yet.
func (c *Cell) setPaces(e *endpoint, change func(percent int) int) {
	if c.now.Sub(e.pacedAt) < paceGap {
		return
	}
	for _, r := range e.sortedRuns() {
		if !r.task.phase.spec.Fills || r.state != runConfirmed || r.stopping {
			continue
		}
		if next := change(r.speed); next != r.speed {
			r.speed = next
			e.pacedAt = c.now
			c.effects.Paces = append(c.effects.Paces, Pace{At: e.info, Order: damsonwinch.SpeedRequest{Run: r.order(), Token: c.token, SpeedPercent: next}})
		}
	}
}

// Paced takes the answer to an order on a run's speed. One that was not answered
// may not have been done: the next look tells.
func (c *Cell) Paced(now time.Time, at damsonwinch.Life, which damsonwinch.Run, err error) {
	c.beginEvent(now)
	r := c.findRun(at, which)
	if r == nil || err == nil {
		return
	}
	c.logRun("pace not set", r, err.Error())
	// It is set again with the next change; until then nothing is taken for sure.
	r.at.pacedAt = time.Time{}
	r.speed = fullPercent
}

// besides says whether an endpoint runs tasks that a phase's should not stand
// beside: what serves and what fills disturb each other.
func (c *Cell) besides(p *phase, e *endpoint) bool {
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
