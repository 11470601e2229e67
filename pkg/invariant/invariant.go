// Package invariant counts breaches of what must always hold. Each is a named
// counter; tests and randomised runs make a breach fatal.
package invariant

import (
	"expvar"
	"fmt"
	"sync"
)

// Names of the invariants, as they stand at /debug/vars.
const (
	// PoolOverlap: a box was in two pools, or got work for another pool's
	// service.
	PoolOverlap = "pool_overlap"
	// BelowFloor: the fold accepted a drain that left a service below its floor.
	BelowFloor = "below_floor"
	// ConfigReverted: an older configuration replaced a newer one.
	ConfigReverted = "config_reverted"
	// StateDiverged: two processes folded the same records to different states.
	StateDiverged = "state_diverged"
	// WrongAnswer: an answer reached a caller whose request it doesn't belong to.
	WrongAnswer = "wrong_answer"
	// NotRunButSent: a request was told "not run" after bytes of it were sent.
	NotRunButSent = "not_run_but_sent"
	// SentTwice: a request that is not repeatable was sent a second time.
	SentTwice = "sent_twice"
	// SentWithoutLease: a request was sent outside the sender's lease.
	SentWithoutLease = "sent_without_lease"
	// SentToLeaving: a box got new work long after it was known to leave.
	SentToLeaving = "sent_to_leaving"
	// CutInFlight: a planned stop or drain cut a request in flight.
	CutInFlight = "cut_in_flight"
)

func names() []string {
	return []string{
		PoolOverlap, BelowFloor, ConfigReverted, StateDiverged, WrongAnswer,
		NotRunButSent, SentTwice, SentWithoutLease, SentToLeaving, CutInFlight,
	}
}

// Checker counts breaches. Its zero counters stand in the metrics from the start,
// so that a dashboard can tell "none" from "not measured".
type Checker struct {
	counters *expvar.Map
	report   func(name, detail string)
	mutex    sync.Mutex
	reported map[string]bool
}

// New returns a book. Report is called upon the first breach of each invariant;
// tests make it fail the test.
func New(report func(name, detail string)) *Checker {
	book := &Checker{counters: new(expvar.Map).Init(), report: report, reported: map[string]bool{}}
	for _, name := range names() {
		book.counters.Add(name, 0)
	}
	return book
}

// Check counts a breach of the named invariant unless it holds.
func (b *Checker) Check(name string, holds bool, detail string, values ...any) {
	if holds {
		return
	}
	b.counters.Add(name, 1)
	if b.first(name) {
		b.report(name, fmt.Sprintf(detail, values...))
	}
}

func (b *Checker) first(name string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	first := !b.reported[name]
	b.reported[name] = true
	return first
}

// Counters returns the counters for /debug/vars.
func (b *Checker) Counters() *expvar.Map {
	return b.counters
}

// Total returns the number of all breaches.
func (b *Checker) Total() int {
	total := 0
	b.counters.Do(func(pair expvar.KeyValue) {
		if count, isInt := pair.Value.(*expvar.Int); isInt {
			total += int(count.Value())
		}
	})
	return total
}
