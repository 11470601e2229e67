package boxplan_test

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
)

const (
	// simCalm is how long there must have been no fault for the rules on waits to count.
	simCalm = 7 * time.Second
	// simMissingBound bounds how long a cell may miss boxes in calm without getting one.
	simMissingBound = 9 * time.Second
	// simWithdrawnBound and simIssuedBound bound how long in calm an endpoint may stay withdrawn and a box may
	// have an issued order, apart from the time that the platform needs to take orders on all boxes.
	simWithdrawnBound = 4 * time.Second
	simIssuedBound    = 8 * time.Second
)

// simRules checks the rules of a simulation.
type simRules struct {
	violation string
	// missingSince holds since when a cell has missed boxes without getting one, lastUsable how many it could
	// use before.
	missingSince map[string]time.Time
	lastUsable   map[string]int
	// withdrawnSince holds since when a life has been withdrawn, issuedSince since when a box has had its
	// present order.
	withdrawnSince map[damsonwinch.Life]time.Time
	issuedSince    map[boxplan.Order]time.Time
	longestWait    time.Duration
}

// newSimRules returns rules that nothing has violated.
func newSimRules() simRules {
	return simRules{
		missingSince: map[string]time.Time{}, lastUsable: map[string]int{},
		withdrawnSince: map[damsonwinch.Life]time.Time{}, issuedSince: map[boxplan.Order]time.Time{},
	}
}

// violate notes the first violation.
func (r *simRules) violate(w *simWorld, format string, args ...any) {
	if r.violation == "" {
		r.violation = fmt.Sprintf("%.2f s: ", w.now.Sub(w.start).Seconds()) + fmt.Sprintf(format, args...)
		w.log = append(w.log, w.planner.Summary()...)
	}
}

// check checks the rules at the present time.
func (r *simRules) check(w *simWorld) {
	r.checkMissingBoxes(w)
	r.checkWithdrawals(w)
	r.checkOrders(w)
}

// lasted returns for how long a state that began at since has lasted without a fault; 0 unless it is calm.
func (r *simRules) lasted(w *simWorld, since time.Time) time.Duration {
	calm := w.now.Sub(w.faults.last)
	if calm < simCalm {
		return 0
	}
	return min(calm, w.now.Sub(since))
}

// checkMissingBoxes checks that a cell which misses boxes gets one while there is one for it.
func (r *simRules) checkMissingBoxes(w *simWorld) {
	for _, name := range w.cellNames {
		c := w.cells[name]
		usable := c.usableBoxes(w.now)
		if c.missingBoxes(w.now) == 0 || usable > r.lastUsable[name] || !w.boxIsFree(name) {
			r.missingSince[name] = w.now
		}
		r.lastUsable[name] = usable
		wait := r.lasted(w, r.missingSince[name])
		r.longestWait = max(r.longestWait, wait)
		if wait > simMissingBound {
			r.violate(w, "cell %s has missed %d boxes beside its %d usable ones for %s", name, c.missingBoxes(w.now), usable, wait)
		}
	}
}

// boxIsFree reports whether a box is powered off, or a cell of another pool has a usable one that it doesn't keep
// for its own long-running tasks or to survive the loss of a box.
func (w *simWorld) boxIsFree(receiver string) bool {
	for _, b := range w.platform.boxes {
		if b.Pool == w.platform.poweredOff && b.State == damsonwinch.BoxUp {
			return true
		}
	}
	pool, _ := shard.ParseCellName(receiver)
	for _, name := range w.cellNames {
		c := w.cells[name]
		if other, _ := shard.ParseCellName(name); other != pool && c.usableBoxes(w.now) > max(c.longRunning, simMinBoxes) && c.hasBoxWithoutLongRunning(w.now) {
			return true
		}
	}
	return false
}

// simMinBoxes is how many boxes a cell keeps at least.
const simMinBoxes = 2

// hasBoxWithoutLongRunning reports whether a usable endpoint has no long-running task.
func (c *simCell) hasBoxWithoutLongRunning(now time.Time) bool {
	return slices.ContainsFunc(c.endpoints, func(e *simEndpoint) bool { return e.usable(now) && !e.lasting })
}

// checkWithdrawals checks that no endpoint stays withdrawn.
func (r *simRules) checkWithdrawals(w *simWorld) {
	withdrawn := map[damsonwinch.Life]bool{}
	for _, name := range w.cellNames {
		for _, e := range w.cells[name].endpoints {
			if !e.withdrawn || !e.exitedAt.IsZero() {
				continue
			}
			withdrawn[e.life] = true
			if r.withdrawnSince[e.life].IsZero() {
				r.withdrawnSince[e.life] = w.now
			}
			if since := r.lasted(w, r.withdrawnSince[e.life]); since > simWithdrawnBound+w.platform.timeForAllOrders() {
				r.violate(w, "endpoint %s of cell %s has been withdrawn for %s, order %+v", e.life, name, since, w.planner.IssuedOrders()[e.box])
			}
		}
	}
	for life := range r.withdrawnSince {
		if !withdrawn[life] {
			delete(r.withdrawnSince, life)
		}
	}
}

// checkOrders checks that no box keeps an issued order.
func (r *simRules) checkOrders(w *simWorld) {
	if !w.planning {
		return
	}
	issued := map[boxplan.Order]bool{}
	for _, order := range w.planner.IssuedOrders() {
		issued[order] = true
		if r.issuedSince[order].IsZero() || w.platform.byName[order.Box].State != damsonwinch.BoxUp {
			r.issuedSince[order] = w.now
		}
		if since := r.lasted(w, r.issuedSince[order]); since > simIssuedBound+w.platform.timeForAllOrders() {
			r.violate(w, "box %s has had an order to %q, wave %d, for %s; it is %+v", order.Box, order.Pool, order.Wave, since, w.platform.byName[order.Box].Box)
		}
	}
	for order := range r.issuedSince {
		if !issued[order] {
			delete(r.issuedSince, order)
		}
	}
}

// checkEndedLife checks that an order which the platform has carried out at once has ended no life that wasn't
// withdrawn for it.
func (r *simRules) checkEndedLife(w *simWorld, order boxplan.Order, ended damsonwinch.Life) {
	for _, name := range w.cellNames {
		for _, e := range w.cells[name].endpoints {
			if e.life == ended && !e.withdrawn {
				r.violate(w, "an order to %q, wave %d, ended %s, which isn't withdrawn", order.Pool, order.Wave, ended)
			}
		}
	}
}
