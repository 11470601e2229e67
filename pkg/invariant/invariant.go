// Package invariant counts violations of the invariants of the system. Each invariant has a counter. Tests
// and randomized runs fail upon a violation.
package invariant

import (
	"expvar"
	"fmt"
	"sync"
)

// Names of the invariants and of their counters at /debug/vars.
const (
	// PoolOverlap means that a box was in two pools, or got work for a service of another pool.
	PoolOverlap = "pool_overlap"
	// BelowFloor means that a drain was accepted that left a service below its floor.
	BelowFloor = "below_floor"
	// ConfigReverted means that an older configuration replaced a newer one.
	ConfigReverted = "config_reverted"
	// StateDiverged means that two processes applied the same records and got different states.
	StateDiverged = "state_diverged"
	// WrongAnswer means that a client got the response to another request.
	WrongAnswer = "wrong_answer"
	// NotRunButSent means that a request was reported as "not run" after bytes of it had been sent to a box.
	NotRunButSent = "not_run_but_sent"
	// SentTwice means that a request that is not idempotent was sent a second time.
	SentTwice = "sent_twice"
	// SentWithoutLease means that a request was sent outside the sender's lease.
	SentWithoutLease = "sent_without_lease"
	// SentToLeaving means that a box got new work long after it was known to be leaving.
	SentToLeaving = "sent_to_leaving"
	// CutInFlight means that a planned stop or drain cut off a request in flight.
	CutInFlight = "cut_in_flight"
)

// names returns the names of all invariants.
func names() []string {
	return []string{
		PoolOverlap, BelowFloor, ConfigReverted, StateDiverged, WrongAnswer,
		NotRunButSent, SentTwice, SentWithoutLease, SentToLeaving, CutInFlight,
	}
}

// Checker counts violations. All counters exist from the start with the value 0, so that a dashboard can
// tell "none" from "not measured".
type Checker struct {
	counters *expvar.Map
	report   func(name, detail string)
	mutex    sync.Mutex
	reported map[string]bool
}

// New returns a checker. It calls report upon the first violation of each invariant. Tests pass a function
// that fails the test.
func New(report func(name, detail string)) *Checker {
	checker := &Checker{counters: new(expvar.Map).Init(), report: report, reported: map[string]bool{}}
	for _, name := range names() {
		checker.counters.Add(name, 0)
	}
	return checker
}

// Check counts a violation of the named invariant unless holds is true. detail is a format for values, which
// describes the violation to report.
func (c *Checker) Check(name string, holds bool, detail string, values ...any) {
	if holds {
		return
	}
	c.counters.Add(name, 1)
	if c.isFirst(name) {
		c.report(name, fmt.Sprintf(detail, values...))
	}
}

// isFirst reports whether this is the first violation of the named invariant. Later calls return false.
func (c *Checker) isFirst(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isFirst := !c.reported[name]
	c.reported[name] = true
	return isFirst
}

// Counters returns the counters of all invariants for /debug/vars.
func (c *Checker) Counters() *expvar.Map {
	return c.counters
}

// Total returns the number of violations of all invariants.
func (c *Checker) Total() int {
	total := 0
	c.counters.Do(func(pair expvar.KeyValue) {
		if count, isInt := pair.Value.(*expvar.Int); isInt {
			total += int(count.Value())
		}
	})
	return total
}
