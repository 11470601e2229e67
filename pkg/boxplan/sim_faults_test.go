package boxplan_test

import (
	"time"

	"damsonwinch"
)

// simFaults are the faults of a simulation. They strike for some seconds at a time, with calm between.
type simFaults struct {
	// period is the time from the start of one stretch of faults to that of the next, stretch its duration.
	period, stretch time.Duration
	// last is the time of the last fault.
	last time.Time
	// Probabilities for a call during a stretch.
	lostLists, slowCalls, refusedOrders, lateOrders, lostOrders, lostSyncs float64
	// Numbers of events in a second of a stretch.
	crashes, losses, unreachable, ownerLosses, cuts float64
	// taskFailures is the number of long-running tasks that fail in a second, also in calm.
	taskFailures float64
}

// drawFaults draws the kinds and strengths of a simulation's faults.
func drawFaults(w *simWorld) simFaults {
	f := simFaults{period: w.between(20*time.Second, 40*time.Second), stretch: w.between(time.Second, 10*time.Second), last: w.start, taskFailures: 0.2}
	for _, probability := range []*float64{&f.lostLists, &f.slowCalls, &f.refusedOrders, &f.lateOrders, &f.lostOrders, &f.lostSyncs} {
		if w.random.IntN(3) == 0 {
			*probability = w.random.Float64() * 0.6
		}
	}
	for _, rate := range []*float64{&f.crashes, &f.losses, &f.unreachable, &f.ownerLosses, &f.cuts} {
		if w.random.IntN(3) == 0 {
			*rate = w.random.Float64()
		}
	}
	return f
}

// striking reports whether a stretch of faults is in progress. The simulation begins in calm.
func (f *simFaults) striking(w *simWorld) bool {
	since := w.now.Sub(w.start)
	return since > f.period/2 && (since-f.period/2)%f.period < f.stretch
}

// chance reports whether a fault of a probability strikes now.
func (f *simFaults) chance(w *simWorld, probability float64) bool {
	if !f.striking(w) || w.random.Float64() >= probability {
		return false
	}
	f.last = w.now
	return true
}

// delay returns by how much a call is slowed down.
func (f *simFaults) delay(w *simWorld) time.Duration {
	if f.chance(w, f.slowCalls) {
		return w.between(100*time.Millisecond, 2*time.Second)
	}
	return 0
}

// tick lets faults strike.
func (f *simFaults) tick(w *simWorld) {
	happens := func(rate float64) bool { return f.chance(w, rate*simStep.Seconds()) }
	if happens(f.crashes) {
		f.crash(w)
	}
	if w.planning && happens(f.losses) {
		w.logf("the planner is lost")
		w.losePlanner()
	}
	name := w.cellNames[w.random.IntN(len(w.cellNames))]
	if happens(f.unreachable) {
		w.cells[name].unreachableUntil = w.now.Add(f.outage(w))
	}
	if happens(f.ownerLosses) {
		w.cells[name].loseOwner()
		w.cells[name].unreachableUntil = w.now.Add(f.outage(w))
	}
	if happens(f.cuts) {
		f.cut(w, name)
	}
	if w.random.Float64() < f.taskFailures*simStep.Seconds() {
		w.cells[name].failTask(w.now)
	}
}

// outage returns the duration of an outage. It counts as a fault until its end.
func (f *simFaults) outage(w *simWorld) time.Duration {
	duration := w.between(time.Second, 6*time.Second)
	for at := time.Duration(0); at <= duration; at += time.Second / 2 {
		w.after(at, func() { f.last = w.now })
	}
	w.after(duration, func() { f.last = w.now })
	return duration
}

// crash takes down a box that is up, which restarts later.
func (f *simFaults) crash(w *simWorld) {
	b := w.platform.boxes[w.random.IntN(len(w.platform.boxes))]
	if b.State != damsonwinch.BoxUp {
		return
	}
	w.logf("%s crashes in %s", b.Name, b.Pool)
	// The platform's service may be slow to list the box as up again.
	w.platform.takeDown(w.now, b, damsonwinch.BoxDown, w.between(time.Second, 30*time.Second), b.Pool)
}

// cut cuts some endpoints of a cell off from its owner.
func (f *simFaults) cut(w *simWorld, name string) {
	until := w.now.Add(f.outage(w))
	for _, e := range w.cells[name].endpoints {
		if w.random.IntN(3) == 0 {
			e.silentUntil = until
		}
	}
}
