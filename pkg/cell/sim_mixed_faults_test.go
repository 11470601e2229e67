package cell_test

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
)

// Sizes and times of a simulation with mixed faults.
const (
	mixedBoxes    = 5
	mixedMaxLease = 10 * time.Second
	// Bursts of faults begin every mixedBurstInterval. Between most of them there is enough calm for the rule on
	// long-running tasks to apply.
	mixedBurstInterval = 28 * time.Second
	mixedBursts        = 2
	mixedEnd           = mixedBursts*mixedBurstInterval + 8*time.Second
	// maxFaultOffset is the longest time from the first fault of a burst to the second one, and
	// maxRepeatDelay the longest time until a fault occurs again.
	maxFaultOffset = 3 * time.Second
	maxRepeatDelay = 4 * time.Second
	// maxRestartDelay is how long a fault waits for the first start on a later life.
	maxRestartDelay = 5 * time.Second
	// A request that gets no answer may be carried out minLateness to maxLateness later.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	// registrationHistory is how long earlier registrations are kept.
	registrationHistory = 5 * time.Second
	// usualBoxListTime is how long it usually takes to read the list of boxes.
	usualBoxListTime = 50 * time.Millisecond
)

// mixedFaults injects faults that overlap in time.
type mixedFaults struct {
	world *world
	// disturbedUntil is when the last fault ends that has begun so far.
	disturbedUntil time.Time
	// present counts, by kind and target, the faults that are present now.
	present map[string]int
	// deadConnections counts, by owner and box, the open connections that are silent for good.
	deadConnections map[string]int
	// leasesFromArrival makes the leases of late requests count from their arrival.
	leasesFromArrival bool
	// past holds the registrations of the last registrationHistory, and listAge is how old the list is that
	// owners read.
	past    []pastRegistrations
	listAge time.Duration
	// boxListTime is how long it takes to read the list of boxes, box by box.
	boxListTime time.Duration
	// readsClaims and readsBoxes hold the owners with such a read in flight.
	readsClaims map[*simOwner]bool
	readsBoxes  map[*simOwner]bool
	longRunning *longRunningRule
}

// pastRegistrations are the registrations at some time.
type pastRegistrations struct {
	at     time.Time
	listed []damsonwinch.Endpoint
}

// simulateMixedFaults runs the simulation of a seed with mixed faults. If leasesFromArrival is set, the leases of
// late requests count from their arrival.
func simulateMixedFaults(seed uint64, m mutation, leasesFromArrival bool) *world {
	w := newMixedWorld(seed, m)
	w.mixed.leasesFromArrival = leasesFromArrival
	w.resetsOnExit = w.random.Float64() < 0.5
	w.setUpMixed()
	w.mixed.addLongRunningJobs()
	w.mixed.addDemand()
	for burst := range mixedBursts {
		w.after(w.randomDuration(time.Second, 2*time.Second)+time.Duration(burst)*mixedBurstInterval, w.mixed.beginBurst)
	}
	w.run(w.now.Add(mixedEnd))
	return w
}

// simulateMixedFaultsOnTime is simulateMixedFaults without leases that count from the arrival of late requests.
func simulateMixedFaultsOnTime(seed uint64, m mutation) *world {
	return simulateMixedFaults(seed, m, false)
}

// newMixedWorld returns a simulation with mixed faults that has no boxes yet.
func newMixedWorld(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.boxCount, w.boxMilliCPU, w.promptPolls, w.maxLease = mixedBoxes, 8000, true, mixedMaxLease
	w.mixed = &mixedFaults{
		world: w, present: map[string]int{}, deadConnections: map[string]int{},
		readsClaims: map[*simOwner]bool{}, readsBoxes: map[*simOwner]bool{}, boxListTime: usualBoxListTime,
	}
	w.mixed.longRunning = newLongRunningRule(w)
	return w
}

// setUpMixed adds boxes and an owner, and begins to check the rule on long-running tasks.
func (w *world) setUpMixed() {
	for box := range w.boxCount {
		w.addEndpoint(fmt.Sprintf("box-%d", box))
	}
	w.mixed.recordRegistrations()
	w.addOwner()
	w.after(0, w.restarts.check)
	w.after(0, w.mixed.longRunning.check)
}

// mixedOptions returns the options of the cell, changed as the mutation demands. They are those of a node.
func mixedOptions(m mutation) cell.Options {
	return disableOptions(m, cell.Options{
		MaxLease: mixedMaxLease, RenewalGrace: 5 * time.Second, MaxStopTime: simMaxStopTime, MaxStartDelay: 2500 * time.Millisecond, MinCommitInterval: 30 * time.Millisecond,
		PollWait: 500 * time.Millisecond, IdlePollInterval: 2 * time.Second, PollRetryInterval: 300 * time.Millisecond, EndedJobRetention: time.Hour,
	})
}

// disturbed reports whether a fault is present.
func (f *mixedFaults) disturbed() bool {
	return f.world.now.Before(f.disturbedUntil)
}

// calmFor returns for how long there has been no fault.
func (f *mixedFaults) calmFor() time.Duration {
	return f.world.now.Sub(f.disturbedUntil)
}

// disturb notes that faults are present for the given time.
func (f *mixedFaults) disturb(duration time.Duration) {
	if until := f.world.now.Add(duration); until.After(f.disturbedUntil) {
		f.disturbedUntil = until
	}
}

// begin begins a fault, which ends after the given time.
func (f *mixedFaults) begin(fault string, duration time.Duration) {
	f.world.logf("%s for %v", fault, duration)
	f.present[fault]++
	f.disturb(duration)
	f.world.after(duration, func() { f.present[fault] = max(0, f.present[fault]-1) })
}

// has reports whether a fault is present.
func (f *mixedFaults) has(fault string) bool {
	return f.present[fault] > 0
}

// beginBurst injects faults that overlap, mostly on the same box.
func (f *mixedFaults) beginBurst() {
	f.disturb(maxFaultOffset)
	if f.world.random.Float64() < 0.7 {
		f.beginRelatedFaults()
		return
	}
	f.beginPair()
}

// beginRelatedFaults injects two to four faults of a group on the same box, half of the times in the order of the
// group.
func (f *mixedFaults) beginRelatedFaults() {
	w, box := f.world, f.chooseBox()
	kinds := slices.Clone(relatedKinds[w.random.IntN(len(relatedKinds))])
	for len(kinds) > 2 && w.random.Float64() < 0.3 {
		dropped := w.random.IntN(len(kinds))
		kinds = slices.Delete(kinds, dropped, dropped+1)
	}
	var offsets []time.Duration
	for range kinds {
		offsets = append(offsets, w.randomDuration(0, maxFaultOffset))
	}
	if w.random.Float64() < 0.5 {
		slices.Sort(offsets)
	}
	for number, kind := range kinds {
		w.after(offsets[number], func() { kind(f, box) })
	}
}

// beginPair injects two faults, often on the same box, and each of them perhaps twice.
func (f *mixedFaults) beginPair() {
	w := f.world
	box := f.chooseBox()
	for number := range 2 {
		kind := w.random.IntN(len(mixedKinds))
		if number > 0 && w.random.Float64() < 0.4 {
			box = f.chooseBox()
		}
		target := box
		at := time.Duration(0)
		if number > 0 {
			at = w.randomDuration(0, maxFaultOffset)
		}
		w.after(at, func() { mixedKinds[kind](f, target) })
		if w.random.Float64() < 0.5 {
			w.after(at+w.randomDuration(0, maxRepeatDelay), func() { mixedKinds[kind](f, target) })
		}
	}
}

// chooseBox returns the name of a box, mostly of one with long-running tasks.
func (f *mixedFaults) chooseBox() string {
	w := f.world
	var boxes []string
	for _, e := range w.endpoints {
		for run := range e.runs {
			if w.behaviourOf(run.Task).longRunning {
				boxes = append(boxes, e.info.Box)
				break
			}
		}
	}
	if len(boxes) == 0 || w.random.Float64() < 0.3 {
		return w.randomBox()
	}
	return boxes[w.random.IntN(len(boxes))]
}

// recordRegistrations keeps the registrations of the last registrationHistory.
func (f *mixedFaults) recordRegistrations() {
	w := f.world
	var listed []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if !e.exited && !f.has(unregistered+e.info.Box) {
			listed = append(listed, e.info)
		}
	}
	f.past = append(f.past, pastRegistrations{at: w.now, listed: listed})
	for w.now.Sub(f.past[0].at) > registrationHistory {
		f.past = f.past[1:]
	}
	w.after(50*time.Millisecond, f.recordRegistrations)
}

// registrations returns the registrations as an owner reads them now.
func (f *mixedFaults) registrations() []damsonwinch.Endpoint {
	var listed []damsonwinch.Endpoint
	for _, past := range f.past {
		if listed == nil || f.world.now.Sub(past.at) >= f.listAge {
			listed = past.listed
		}
	}
	return listed
}

// isCut reports whether an owner and an endpoint can't reach each other.
func (f *mixedFaults) isCut(o *simOwner, e *simEndpoint) bool {
	return f.has(cutOff+e.info.Box) || f.has(cutOff+e.info.Box+fromOwner+o.name) || f.has(muted+e.info.Box) || f.has(late+e.info.Box)
}

// interceptCall handles a call that gets no answer because of a fault, and reports whether there is one.
func (f *mixedFaults) interceptCall(o *simOwner, e *simEndpoint, handle func(e *simEndpoint) func() error, done func(err error)) bool {
	w, connection := f.world, o.name+e.info.Box
	switch {
	case f.has(cutOff + e.info.Box), f.has(cutOff + e.info.Box + fromOwner + o.name):
	case f.deadConnections[connection] > 0 && w.random.Float64() < 0.7:
		f.deadConnections[connection]--
	case f.has(muted + e.info.Box):
		w.after(w.randomDuration(time.Millisecond, 20*time.Millisecond), func() { f.carryOut(e, handle, 0) })
	case f.has(late + e.info.Box):
		if w.random.Float64() < 0.7 {
			delay := w.randomDuration(minLateness, maxLateness)
			w.after(delay, func() { f.carryOut(e, handle, delay) })
		}
	default:
		return false
	}
	w.after(callTimeout, func() { done(errNoReply) })
	return true
}

// carryOut has an endpoint handle a request whose call has timed out.
func (f *mixedFaults) carryOut(e *simEndpoint, handle func(e *simEndpoint) func() error, delay time.Duration) {
	if e.exited {
		return
	}
	f.world.requestDelayed = true
	if f.leasesFromArrival {
		e.lateMs = int(delay.Milliseconds())
	}
	f.world.logf("%s carries out a request %v late", e.info.Life, delay)
	handle(e)
	e.lateMs = 0
	f.world.requestDelayed = false
}

// callExited ends a call to a life that has exited. A later life on the same box answers that it is another one.
func (f *mixedFaults) callExited(e *simEndpoint, done func(err error)) {
	w := f.world
	for _, other := range w.endpoints {
		if other.info.Box == e.info.Box && !other.exited {
			if !f.has(cutOff + e.info.Box) {
				w.after(3*time.Millisecond, func() { done(damsonwinch.ErrOtherLife) })
				return
			}
		}
	}
	if w.resetsOnExit {
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrNotSent) })
		return
	}
	w.after(callTimeout, func() { done(errNoReply) })
}

// interceptAppend handles an append whose reply gets lost, and reports whether there is such a fault. The store may
// carry it out seconds later.
func (f *mixedFaults) interceptAppend(o *simOwner, sequence int, records []damsonwinch.Record) bool {
	w := f.world
	if f.has(pauseAtAppend) && o == w.owners[len(w.owners)-1] {
		f.present[pauseAtAppend] = 0
		f.pause(o, "after it has sent an append")
	}
	if !f.has(storeMuted) {
		return false
	}
	delay := w.randomDuration(time.Millisecond, 20*time.Millisecond)
	if w.random.Float64() < 0.5 {
		delay = w.randomDuration(300*time.Millisecond, 5*time.Second)
	}
	stream := w.streams[o.stream]
	w.after(delay, func() { _ = stream.append(o.token, sequence, records) })
	return true
}

// pause pauses an owner. Mostly another one claims the cell meanwhile.
func (f *mixedFaults) pause(o *simOwner, reason string) {
	w := f.world
	duration := w.randomDuration(500*time.Millisecond, 7*time.Second)
	w.logf("owner %s is paused for %v %s", o.name, duration, reason)
	if until := w.now.Add(duration); until.After(o.pausedUntil) {
		o.pausedUntil = until
	}
	claims := w.random.Float64() < 0.8
	w.after(time.Second, func() {
		if claims {
			w.addOwner()
		}
	})
	f.disturb(duration)
}

// checkClaim reads the claims, unless such a read of the owner is in flight.
func (f *mixedFaults) checkClaim(o *simOwner) {
	w := f.world
	if o.cutOffFromStore || f.readsClaims[o] {
		return
	}
	f.readsClaims[o] = true
	sentAt := o.now()
	if f.has(pauseAtClaimCheck) && o == w.owners[len(w.owners)-1] {
		f.present[pauseAtClaimCheck] = 0
		f.pause(o, "after it has requested the claims")
	}
	w.after(w.randomDuration(time.Millisecond, 10*time.Millisecond), func() {
		newest := w.lastToken
		w.after(w.randomDuration(time.Millisecond, 10*time.Millisecond), func() {
			o.whenRunning(func() {
				f.readsClaims[o] = false
				if o.token < newest {
					o.exit("sees a newer claim")
					return
				}
				o.cell.ConfirmOwnership(sentAt)
			})
		})
	})
}

// listBoxes reads the platform's list of boxes, box by box, unless such a read of the owner is in flight.
func (f *mixedFaults) listBoxes(o *simOwner) {
	w := f.world
	if f.readsBoxes[o] || w.mutation.keepLostRuns {
		return
	}
	f.readsBoxes[o] = true
	requestedAt := o.now()
	var boxes []damsonwinch.Box
	step := f.boxListTime / time.Duration(w.boxCount)
	for number := range w.boxCount {
		w.after(step*time.Duration(number)+time.Millisecond, func() {
			box := fmt.Sprintf("box-%d", number)
			for _, e := range w.endpoints {
				if e.info.Box == box && !e.exited {
					boxes = append(boxes, damsonwinch.Box{Name: box, State: damsonwinch.BoxUp, EndpointID: e.info.Life.ID})
				}
			}
		})
	}
	w.after(f.boxListTime+5*time.Millisecond, func() {
		o.whenRunning(func() {
			f.readsBoxes[o] = false
			if w.mutation.requestListsLate {
				requestedAt = o.now()
			}
			o.cell.SetBoxes(o.now(), requestedAt, boxes)
		})
	})
}
