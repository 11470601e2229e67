package cell

import (
	"slices"
	"time"

	"damsonwinch"
)

// reservationDelay is how long a long-running task waits for an endpoint until one is reserved for it.
// Most tasks find one within that time.
const reservationDelay = 500 * time.Millisecond

// reserveForLongRunning reserves an endpoint for each long-running task that has been waiting for
// reservationDelay, if one could run it but for the short tasks there. Only the tasks that it is
// reserved for start on that endpoint then. Short tasks need less each, so without a reservation every
// one that ends would leave capacity for another short one, and the long-running task would wait until
// the work runs out.
func (c *Cell) reserveForLongRunning() {
	for _, p := range c.openPhases {
		if !p.spec.Lasting || p.spec.Gang || c.waitsForAllowance(p) {
			continue
		}
		for _, t := range p.ready {
			if t.reservation != nil || c.now.Sub(t.readySince) < reservationDelay || c.awaitsProbation(t) || c.mustWait(t) {
				continue
			}
			if !c.reserveFor(t) {
				// The other tasks of the phase need as much.
				break
			}
		}
	}
	c.reserveForEvacuated()
}

// reserveFor reserves an endpoint for a long-running task: preferably one that is reserved for others
// already, else the one where short tasks end soonest. Those that have refused the task come last, in turn. It returns
// false if none can take the task.
func (c *Cell) reserveFor(t *task) bool {
	var choice choice
	for _, e := range c.reservedEndpoints {
		if score := t.refusalScore(e); (choice.best == nil || score > choice.score) && c.canReserve(t, e) {
			choice.best, choice.score = e, score
		}
	}
	if choice.best == nil || choice.score < 0 {
		for _, e := range c.sortedEndpoints {
			if len(e.reservedTasks) == 0 && e.reservedFor == nil && e.probation == nil && c.canReserve(t, e) {
				choice.offer(e, t.refusalScore(e)-c.shortRunsEndMs(e))
			}
		}
	}
	if choice.best == nil {
		return false
	}
	if !slices.Contains(c.reservedEndpoints, choice.best) {
		c.reservedEndpoints = append(c.reservedEndpoints, choice.best)
	}
	choice.best.reserve(t)
	return true
}

// canReserve reports whether an endpoint could run a task beside its long-running tasks and those that
// it is reserved for.
func (c *Cell) canReserve(t *task, e *endpoint) bool {
	p := t.phase
	reserved, ofPhase := damsonwinch.Resources{}, 0
	for _, other := range e.reservedTasks {
		reserved = reserved.Plus(other.phase.need())
		if other.phase == p {
			ofPhase++
		}
	}
	if !e.info.Capacity.Minus(e.longRunningNeed()).Minus(reserved).Holds(p.need()) || !c.fitsWithoutShortRuns(t, e) {
		return false
	}
	return p.spec.MostPerBox == 0 || countOnEndpoint(p, e)+ofPhase < p.spec.MostPerBox
}

// placeReserved starts the tasks for which endpoints are reserved, where the short tasks have left enough
// capacity. They come before all others, which may not use these endpoints.
func (c *Cell) placeReserved() {
	c.pruneReservations()
	for _, e := range c.reservedEndpoints {
		for _, t := range slices.Clone(e.reservedTasks) {
			switch {
			case !t.ready, !c.canStart(t, e):
			case !c.withinQuota(t.phase, 1):
				e.dropReservation(t)
			default:
				e.dropReservation(t)
				t.phase.removeReady(t)
				c.planRun(t, e)
			}
		}
	}
}

// pruneReservations removes the reservations for tasks that don't wait any more, and those of endpoints
// that can't run the task any more.
func (c *Cell) pruneReservations() {
	c.reservedEndpoints = slices.DeleteFunc(c.reservedEndpoints, func(e *endpoint) bool {
		for _, t := range slices.Clone(e.reservedTasks) {
			if !t.wantsReservation() || c.awaitsProbation(t) || e.probation != nil || !c.fitsWithoutShortRuns(t, e) {
				e.dropReservation(t)
			}
		}
		return len(e.reservedTasks) == 0
	})
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

// reserve reserves the endpoint for a task, beside others for which it may be reserved.
func (e *endpoint) reserve(t *task) {
	t.reservation = e
	e.reservedTasks = append(e.reservedTasks, t)
}

// dropReservation removes the reservation of the endpoint for a task.
func (e *endpoint) dropReservation(t *task) {
	t.reservation = nil
	e.reservedTasks = slices.DeleteFunc(e.reservedTasks, func(other *task) bool { return other == t })
}

// reservationAllows reports whether a task may start on an endpoint although other tasks may be waiting
// for it.
func (e *endpoint) reservationAllows(t *task) bool {
	return len(e.reservedTasks) == 0 || t.reservation == e
}
