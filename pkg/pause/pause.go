// Package pause detects that a process which handles events has been paused, from the times of the events.
package pause

import "time"

const (
	// threshold is the time without an event after which the process is taken to have been paused. Even
	// when nothing else happens, its events include four ticks a second.
	threshold = 400 * time.Millisecond
	// catchUpTime is how long it takes after a pause to handle the messages that arrived meanwhile.
	catchUpTime = 100 * time.Millisecond
	// busyThreshold is the time without an event after which a busy process is taken to have been held up: it
	// ticks each 50 ms. Replies may have arrived meanwhile.
	busyThreshold = 120 * time.Millisecond
)

// Detector detects pauses. The zero value has seen none.
type Detector struct {
	// resumedAt is when the process last continued after a pause.
	resumedAt time.Time
	// heldUpUntil is the time until which the process may have to handle what arrived while it was held up.
	heldUpUntil time.Time
}

// Event notes an event that is handled now. previous is when the process was last known to do something,
// or zero.
func (d *Detector) Event(previous, now time.Time) {
	if !previous.IsZero() && now.Sub(previous) > threshold {
		d.resumedAt = now
	}
}

// CaughtUp reports whether the process handles messages as soon as they arrive, that is, whether its
// last pause ended at least catchUpTime ago. Messages that it handles before may have arrived during the
// pause.
func (d *Detector) CaughtUp(now time.Time) bool {
	return now.Sub(d.resumedAt) >= catchUpTime
}

// BusyEvent notes an event that a busy process handles now, in addition to Event.
func (d *Detector) BusyEvent(previous, now time.Time) {
	if !previous.IsZero() && now.Sub(previous) > busyThreshold {
		d.heldUpUntil = now.Add(catchUpTime)
	}
}

// CaughtUpBusy reports whether a busy process handles messages as soon as they arrive. It is stricter than
// CaughtUp: shorter times without an event count, too.
func (d *Detector) CaughtUpBusy(now time.Time) bool {
	return !now.Before(d.heldUpUntil)
}
