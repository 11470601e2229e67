// Package fillerspeed decides how fast filler tasks, which use the CPU that others leave idle, may run
// beside serving tasks on one endpoint. Serving tasks have a target for their tail latency; all
// percentages of tail latency are relative to it.
package fillerspeed

import "time"

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
	lowTailTime     = 1500 * time.Millisecond
	// changeInterval is the time that a changed speed takes to show: the reported tail latency
	// covers the last half second.
	changeInterval = 600 * time.Millisecond
)

const (
	// MinPercent is the lowest speed of a filler task. Instead of a lower one it gets the speed 0,
	// which pauses it.
	MinPercent = 10
	// FullPercent is the full speed of a task.
	FullPercent = 100
)

// Controller decides the speeds of the filler tasks on one endpoint. The zero value is ready for use.
type Controller struct {
	// changedAt is when the speed of a task was last changed.
	changedAt time.Time
	// lowTailSince is since when the tail latency has been below lowTailPercent, or zero.
	lowTailSince time.Time
}

// Last is the speed of the last filler task that ended on an endpoint. The zero value stands for none.
type Last struct {
	endedAt time.Time
	percent int
}

// NewLast returns the speed of a task that has ended at the given time.
func NewLast(endedAt time.Time, percent int) Last {
	return Last{endedAt: endedAt, percent: percent}
}

// Percent returns the speed for a task that begins now, in percent: that of the last one, or the full speed once that ended
// longer ago than it takes to find out that the tail latency is low.
func (l Last) Percent(now time.Time) int {
	if l.endedAt.IsZero() || now.Sub(l.endedAt) >= lowTailTime {
		return FullPercent
	}
	return l.percent
}

// Change is what is to be done about the speeds of filler tasks.
type Change int

const (
	// None leaves the speeds as they are.
	None Change = iota
	// SlowDown reduces them, because a serving task is close to its target.
	SlowDown
	// SpeedUp raises them, because all serving tasks have been far below their targets for a while.
	SpeedUp
)

// Observe notes the highest tail latency of the endpoint's serving tasks, in percent of the task's
// target, or 0 if there is none. It returns the change that follows. There is none while the effect of
// the last change can't be seen yet.
func (c *Controller) Observe(now time.Time, worstTailPercent int) Change {
	change := c.wantedChange(now, worstTailPercent)
	if now.Sub(c.changedAt) < changeInterval {
		return None
	}
	return change
}

// wantedChange updates lowTailSince, and returns the change that the tail latency asks for.
func (c *Controller) wantedChange(now time.Time, worstTailPercent int) Change {
	if worstTailPercent >= lowTailPercent {
		c.lowTailSince = time.Time{}
		if worstTailPercent >= highTailPercent {
			return SlowDown
		}
		return None
	}
	if c.lowTailSince.IsZero() {
		c.lowTailSince = now
	}
	if now.Sub(c.lowTailSince) < lowTailTime {
		return None
	}
	return SpeedUp
}

// Changed notes that the speed of a task is changed.
func (c *Controller) Changed(now time.Time) {
	c.changedAt = now
}

// ChangeFailed notes that the last change may not have been carried out, so that the next one may
// follow at once.
func (c *Controller) ChangeFailed() {
	c.changedAt = time.Time{}
}

// Apply returns the speed, in percent, of a task that has the given one before the change.
func (c Change) Apply(percent int) int {
	switch c {
	case SlowDown:
		slower := percent * slowdownPercent / FullPercent
		if slower < MinPercent {
			return 0
		}
		return slower
	case SpeedUp:
		return min(FullPercent, percent+speedupPercent)
	}
	return percent
}
