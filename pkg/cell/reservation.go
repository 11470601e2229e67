package cell

import (
	"slices"
	"time"
)

// reservationDelay is how long a long-running task waits for an endpoint until one is reserved for it.
// Most tasks find one within that time.
const reservationDelay = 500 * time.Millisecond

// reserveForLongRunning reserves an endpoint for each long-running task that has been waiting for
// reservationDelay, if one could run it but for the short tasks there. Nothing else starts on that
// endpoint then. Short tasks need less each, so without a reservation every one that ends would leave
// room for another short one, and the long-running task would wait until the work runs out.
func (c *Cell) reserveForLongRunning() {
	for _, p := range c.openPhases {
		if !p.spec.Lasting || p.spec.Gang || !p.overQuotaSince.IsZero() {
			continue
		}
		for _, t := range p.ready {
			if c.now.Sub(t.readySince) >= reservationDelay && !t.suspected && !c.mustWait(t) {
				c.reserveFor(t)
			}
		}
	}
}

// pruneReservations removes the reservations for tasks that don't wait any more, and those of endpoints
// that can't run the task any more.
func (c *Cell) pruneReservations() {
	c.reservedEndpoints = slices.DeleteFunc(c.reservedEndpoints, func(e *endpoint) bool {
		if t := e.reservedForLongRunning; t.ready && !t.suspected && e.probation == nil && c.fitsWithoutShortRuns(t, e) {
			return false
		}
		e.reservedForLongRunning = nil
		return true
	})
}

// reserveFor reserves an endpoint for a long-running task, unless one is reserved for it already. Of
// those that could run it without their short tasks it takes the one where these end soonest.
func (c *Cell) reserveFor(t *task) {
	if slices.ContainsFunc(c.reservedEndpoints, func(e *endpoint) bool { return e.reservedForLongRunning == t }) {
		return
	}
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.reservedForLongRunning == nil && e.reservedFor == nil && e.probation == nil && c.fitsWithoutShortRuns(t, e) {
			choice.offer(e, -c.shortRunsEndMs(e))
		}
	}
	if choice.best != nil {
		choice.best.reservedForLongRunning = t
		c.reservedEndpoints = append(c.reservedEndpoints, choice.best)
	}
}

// shortRunsEndMs estimates in how many milliseconds the last short run on an endpoint ends.
func (c *Cell) shortRunsEndMs(e *endpoint) int {
	last := 0
	for _, r := range e.runsByStart {
		if !r.task.phase.spec.Lasting {
			last = max(last, c.estimateRemainingMs(r))
		}
	}
	return last
}

// reservationAllows reports whether a task may start on an endpoint although another task may be
// waiting for the endpoint.
func (e *endpoint) reservationAllows(t *task) bool {
	return e.reservedForLongRunning == nil || e.reservedForLongRunning == t
}
