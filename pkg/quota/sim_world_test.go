package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/eventqueue"
	"damsonwinch/pkg/wire"
)

const simCustomer = "customer"

// world simulates cells, their owners, endpoints and allocators on a fake clock and a fake network.
type world struct {
	random       *rand.Rand
	now          time.Time
	events       eventqueue.Queue
	mutation     mutation
	injectFaults bool
	// oversizedPart is the part of tasks that need more than any cap.
	oversizedPart float64
	cells         []*simCell
	// allocators holds all allocators so far, the newest last, and records the allocators' records
	// by customer.
	allocators []*simAllocator
	records    map[string]wire.AllottedRecord
	lastToken  int
	versions   []simVersion
	// running is the CPU that the runs on all endpoints need, in thousandths of a core.
	running    int
	actualRuns map[*simRun]struct {
		cell *simCell
		need int
	}
	peak      int
	starts    int
	violation string
	trace     []string
}

// simVersion is a configuration and the time at which it was published.
type simVersion struct {
	number int
	cap    int
	at     time.Time
}

// newWorld returns a world with a number of cells, their owners and an allocator.
func newWorld(seed uint64, cells int, m mutation) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), now: time.UnixMilli(1_700_000_000_000), mutation: m, injectFaults: true, records: map[string]wire.AllottedRecord{}}
	for number := range cells {
		c := &simCell{name: fmt.Sprintf("cell-%d", number), world: w}
		w.cells = append(w.cells, c)
	}
	w.publish(100 + w.random.IntN(400))
	for _, c := range w.cells {
		c.newOwner()
	}
	w.newAllocator()
	return w
}

// after schedules a function to run when some time has passed.
func (w *world) after(length time.Duration, do func()) {
	w.events.Schedule(w.now.Add(length), do)
}

// between returns a random duration between two bounds, both included.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// chance returns true with a probability, but only while faults are injected.
func (w *world) chance(probability float64) bool {
	return w.injectFaults && w.random.Float64() < probability
}

// logf adds a line with the simulated time to the trace.
func (w *world) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%7.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

// run runs the simulation until a time, or until the first violation.
func (w *world) run(until time.Time) {
	for w.violation == "" {
		at, do, found := w.events.PopUntil(until)
		if !found {
			break
		}
		w.now = at
		do()
	}
	w.now = until
}

// publish publishes a configuration with a cap, 0 for none. Nodes receive it after some time.
func (w *world) publish(capAmount int) {
	version := simVersion{number: len(w.versions) + 1, cap: capAmount, at: w.now}
	w.versions = append(w.versions, version)
	w.logf("version %d: cap %d", version.number, capAmount)
	for _, c := range w.cells {
		for _, o := range c.owners {
			w.after(o.delivery.next(w, maxOwnerConfigDelay), func() { o.applyConfig(version) })
		}
	}
	for _, a := range w.allocators {
		w.after(a.delivery.next(w, maxAllocatorConfigDelay), func() { a.applyConfig(version) })
	}
}

// delivery holds the time at which a node has received all versions published so far. A node receives
// them in order.
type delivery struct{ until time.Time }

// next returns how long it takes until the node receives one more version, and updates the time.
func (l *delivery) next(w *world, maxDelay time.Duration) time.Duration {
	at := w.now.Add(w.between(0, maxDelay))
	if at.Before(l.until) {
		at = l.until
	}
	l.until = at
	return at.Sub(w.now)
}

// maxCap returns the highest cap of the configurations that may be in force. It returns unknown if one
// of them has no cap.
func (w *world) maxCap() int {
	maxCap := 0
	for at, version := range w.versions {
		applies := simConfigOverlap
		if version.cap == 0 {
			applies += simUncappedRunTime
		}
		if at+1 < len(w.versions) && w.now.Sub(w.versions[at+1].at) > applies {
			continue
		}
		if version.cap == 0 {
			return unknown
		}
		maxCap = max(maxCap, version.cap)
	}
	return maxCap
}

// runStarted starts a run on its endpoint. It notes a violation if the run doesn't fit under the cap
// beside all others.
func (w *world) runStarted(c *simCell, r *simRun) {
	w.starts++
	maxCap := w.maxCap()
	if w.running+min(r.need, maxCap) > maxCap && w.violation == "" {
		w.violation = fmt.Sprintf("QUOTA: %s starts %d beside %d under a cap of %d", c.name, r.need, w.running, maxCap)
		w.logf("BROKEN %s", w.violation)
	}
	w.running += r.need
	if w.actualRuns == nil {
		w.actualRuns = map[*simRun]struct {
			cell *simCell
			need int
		}{}
	}
	w.actualRuns[r] = struct {
		cell *simCell
		need int
	}{c, r.need}
	w.peak = max(w.peak, w.running)
	w.after(w.between(20*time.Millisecond, 1500*time.Millisecond), func() { w.runEnded(c, r) })
}

// runEnded ends a run on its endpoint. Its owner learns of it a little later.
func (w *world) runEnded(c *simCell, r *simRun) {
	w.running -= r.need
	w.after(w.between(2*time.Millisecond, 60*time.Millisecond), func() { c.reportEnd(r) })
}

// nextToken returns a fencing token that is higher than all before.
func (w *world) nextToken() int {
	w.lastToken++
	return w.lastToken
}

// customers returns the customers of a configuration with a cap, 0 for none.
func customers(capAmount int) []damsonwinch.Customer {
	return []damsonwinch.Customer{{Name: simCustomer, Cap: damsonwinch.Resources{MilliCPU: capAmount}}}
}

// describe returns the violation and the trace of the run.
func (w *world) describe() string {
	return w.violation + "\n" + strings.Join(w.trace, "\n")
}
