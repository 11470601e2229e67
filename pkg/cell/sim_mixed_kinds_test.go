package cell_test

import (
	"fmt"
	"time"
)

// Faults that last for some time. Those that end in a space go before the name of a box.
const (
	cutOff            = "cut off: "
	fromOwner         = " from "
	late              = "requests carried out late: "
	muted             = "replies lost: "
	unregistered      = "registration missing: "
	storeMuted        = "replies of the store lost"
	pauseAtAppend     = "owner paused at its next append"
	pauseAtClaimCheck = "owner paused at its next check of the claims"
)

// mixedKinds are the kinds of faults that a simulation with mixed faults draws from.
var mixedKinds = []func(f *mixedFaults, box string){
	(*mixedFaults).killOwner, (*mixedFaults).pauseOwner, (*mixedFaults).pauseOwnerAtAppend, (*mixedFaults).pauseOwnerAtClaimCheck,
	(*mixedFaults).cutOwnerFromStore, (*mixedFaults).refuseAppends, (*mixedFaults).muteStore, (*mixedFaults).claimCell,
	(*mixedFaults).cutBox, (*mixedFaults).cutBoxFromOwner, (*mixedFaults).cutBoxFromNextOwner, (*mixedFaults).crashOneBox,
	(*mixedFaults).delayRequests, (*mixedFaults).muteBox, (*mixedFaults).killConnections,
	(*mixedFaults).dropRegistrations, (*mixedFaults).useOldLists, (*mixedFaults).slowBoxLists,
}

// relatedKinds are groups of kinds that are drawn together for one box. The owner's knowledge of the box's runs is
// then old or wrong in several ways at once.
var relatedKinds = [][]func(f *mixedFaults, box string){
	{(*mixedFaults).slowBoxLists, (*mixedFaults).cutLaterLife},
	{(*mixedFaults).slowBoxLists, (*mixedFaults).cutLaterLife, (*mixedFaults).dropRegistrations},
	{(*mixedFaults).slowBoxLists, (*mixedFaults).crashOneBox, (*mixedFaults).muteBox, (*mixedFaults).cutBoxFromNextOwner},
	{(*mixedFaults).delayRequests, (*mixedFaults).cutBox, (*mixedFaults).claimCell},
	{(*mixedFaults).dropRegistrations, (*mixedFaults).cutBoxFromOwner, (*mixedFaults).killOwner, (*mixedFaults).slowBoxLists},
	{(*mixedFaults).useOldLists, (*mixedFaults).crashOneBox, (*mixedFaults).killConnections, (*mixedFaults).pauseOwnerAtAppend},
}

// newestOwner returns the owner that has claimed the cell last.
func (f *mixedFaults) newestOwner() *simOwner {
	return f.world.owners[len(f.world.owners)-1]
}

// addOwnerAfter has another owner claim the cell after a delay.
func (f *mixedFaults) addOwnerAfter(delay time.Duration) {
	f.disturb(delay + 100*time.Millisecond)
	f.world.after(delay, func() { f.world.addOwner() })
}

// killOwner kills the newest owner. Another one claims the cell later.
func (f *mixedFaults) killOwner(string) {
	o := f.newestOwner()
	f.world.logf("owner %s is killed", o.name)
	o.exit("killed")
	f.addOwnerAfter(f.world.randomDuration(10*time.Millisecond, time.Second))
}

// pauseOwner pauses the newest owner.
func (f *mixedFaults) pauseOwner(string) {
	f.pause(f.newestOwner(), "")
}

// pauseOwnerAtAppend pauses the newest owner while an append is in flight.
func (f *mixedFaults) pauseOwnerAtAppend(string) {
	f.begin(pauseAtAppend, time.Second)
}

// pauseOwnerAtClaimCheck pauses the newest owner while it reads the claims.
func (f *mixedFaults) pauseOwnerAtClaimCheck(string) {
	f.begin(pauseAtClaimCheck, time.Second)
}

// cutOwnerFromStore cuts the newest owner off from the store, often for longer than it renews leases. Another one
// claims the cell a second later.
func (f *mixedFaults) cutOwnerFromStore(string) {
	w, o := f.world, f.newestOwner()
	duration := w.randomDuration(time.Second, 7*time.Second)
	w.logf("owner %s is cut off from the store for %v", o.name, duration)
	o.cutOffFromStore = true
	w.after(duration, func() { o.cutOffFromStore = false })
	f.disturb(duration)
	f.addOwnerAfter(time.Second)
}

// refuseAppends has the store refuse calls for the cell's stream, so that its owner moves it. Half of the times
// another owner claims the cell meanwhile.
func (f *mixedFaults) refuseAppends(string) {
	w, stream := f.world, len(f.world.streams)-1
	duration := w.randomDuration(300*time.Millisecond, 5*time.Second)
	w.logf("the store refuses calls for stream %d for %v", stream, duration)
	w.streamDown[stream] = true
	w.after(duration, func() { delete(w.streamDown, stream) })
	f.disturb(duration)
	if w.random.Float64() < 0.5 {
		f.addOwnerAfter(w.randomDuration(300*time.Millisecond, 1200*time.Millisecond))
	}
}

// muteStore has the store do what it is asked to, some of it late, while no owner gets a reply.
func (f *mixedFaults) muteStore(string) {
	f.begin(storeMuted, f.world.randomDuration(300*time.Millisecond, 3*time.Second))
}

// claimCell has another owner claim the cell for no reason.
func (f *mixedFaults) claimCell(string) {
	f.addOwnerAfter(0)
}

// cutBox cuts a box off from all owners, often for longer than a lease.
func (f *mixedFaults) cutBox(box string) {
	f.begin(cutOff+box, f.cutTime())
}

// cutBoxFromOwner cuts a box off from the present owner.
func (f *mixedFaults) cutBoxFromOwner(box string) {
	f.begin(cutOff+box+fromOwner+f.newestOwner().name, f.cutTime())
}

// cutBoxFromNextOwner cuts a box off from the next owner, which then claims the cell. The present one reaches it.
func (f *mixedFaults) cutBoxFromNextOwner(box string) {
	f.begin(cutOff+box+fromOwner+string(rune('A'+len(f.world.owners)%26)), f.cutTime())
	f.addOwnerAfter(f.world.randomDuration(0, 500*time.Millisecond))
}

// cutTime returns the duration of a cut, which is half of the times longer than a lease.
func (f *mixedFaults) cutTime() time.Duration {
	return f.world.randomDuration(500*time.Millisecond, 2*mixedMaxLease)
}

// crashOneBox ends the life on a box. A new one starts within two seconds.
func (f *mixedFaults) crashOneBox(box string) {
	f.world.crashBox(box)
	f.disturb(3 * time.Second)
}

// cutLaterLife ends the life on a box while a long-running job is submitted, and cuts the next life off soon after its
// first start if that is within maxRestartDelay.
func (f *mixedFaults) cutLaterLife(box string) {
	w := f.world
	f.crashOneBox(box)
	w.after(w.randomDuration(500*time.Millisecond, 2*time.Second), func() { f.addLongRunningJob(fmt.Sprintf("service%d", len(w.clients)), false) })
	end := w.now.Add(maxRestartDelay)
	var await func()
	await = func() {
		switch {
		case w.runsOn(box) > 0:
			w.after(w.randomDuration(0, 500*time.Millisecond), func() { f.cutBox(box) })
		case w.now.Before(end):
			w.after(50*time.Millisecond, await)
		}
	}
	await()
}

// runsOn returns the number of runs on a box.
func (w *world) runsOn(box string) int {
	count := 0
	for _, e := range w.endpoints {
		if e.info.Box == box {
			count += len(e.runs)
		}
	}
	return count
}

// delayRequests has a box answer nothing for some time. What it is asked meanwhile it may do seconds later.
func (f *mixedFaults) delayRequests(box string) {
	f.begin(late+box, f.world.randomDuration(200*time.Millisecond, 3*time.Second))
}

// muteBox has all replies of a box get lost for some time. It does what it is asked.
func (f *mixedFaults) muteBox(box string) {
	f.begin(muted+box, f.world.randomDuration(200*time.Millisecond, 4*time.Second))
}

// killConnections makes the open connections of the newest owner to a box silent for good. New ones work.
func (f *mixedFaults) killConnections(box string) {
	o := f.newestOwner()
	f.world.logf("connections of %s to %s go silent", o.name, box)
	f.deadConnections[o.name+box] = 1 + f.world.random.IntN(4)
	f.disturb(2 * time.Second)
}

// dropRegistrations makes the registration of one box, or those of up to three, vanish for some time.
func (f *mixedFaults) dropRegistrations(box string) {
	w := f.world
	duration := w.randomDuration(300*time.Millisecond, 7*time.Second)
	f.begin(unregistered+box, duration)
	if w.random.Float64() < 0.4 {
		f.begin(unregistered+w.randomBox(), duration)
		f.begin(unregistered+w.randomBox(), duration)
	}
}

// useOldLists makes the lists of endpoints that owners read seconds old.
func (f *mixedFaults) useOldLists(string) {
	w := f.world
	duration := w.randomDuration(time.Second, 5*time.Second)
	f.listAge = w.randomDuration(500*time.Millisecond, registrationHistory-time.Second)
	w.logf("lists of endpoints are %v old for %v", f.listAge, duration)
	w.after(duration, func() { f.listAge = 0 })
	f.disturb(duration)
}

// slowBoxLists makes a read of the list of boxes take seconds.
func (f *mixedFaults) slowBoxLists(string) {
	w := f.world
	duration := w.randomDuration(time.Second, 6*time.Second)
	f.boxListTime = w.randomDuration(500*time.Millisecond, 6*time.Second)
	w.logf("lists of boxes take %v for %v", f.boxListTime, duration)
	w.after(duration, func() { f.boxListTime = usualBoxListTime })
	f.disturb(duration + f.boxListTime)
}
