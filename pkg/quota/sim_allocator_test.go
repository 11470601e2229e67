package quota

import (
	"slices"
	"time"

	"damsonwinch/pkg/wire"
)

// simAllocator is an allocator with the planner around it.
type simAllocator struct {
	world     *world
	token     int
	allocator *Allocator
	dead      bool
	recording bool
	syncing   map[string]bool
	version   int
	delivery  delivery
	cutOff    map[string]bool
}

// newAllocator starts a new allocator, which restores its state from the earlier ones' records.
func (w *world) newAllocator() {
	for _, a := range w.allocators {
		// From now on the earlier allocator's appends are fenced.
		a.token = -max(a.token, -a.token)
	}
	a := &simAllocator{world: w, token: w.nextToken(), allocator: NewAllocator(), syncing: map[string]bool{}, cutOff: map[string]bool{}}
	w.allocators = append(w.allocators, a)
	w.logf("allocator %d", a.token)
	for customer, record := range w.records {
		a.allocator.Load(customer, record)
	}
	token := a.token
	newest := w.versions[len(w.versions)-1]
	w.after(a.delivery.next(w, maxAllocatorConfigDelay), func() { a.applyConfig(newest) })
	w.after(0, func() { a.tick(token) })
}

// applyConfig applies a configuration unless the allocator has a newer one.
func (a *simAllocator) applyConfig(version simVersion) {
	if version.number <= a.version || a.dead {
		return
	}
	a.version = version.number
	a.allocator.Configure(version.number, customers(version.cap))
	if len(a.allocator.cells) == 0 {
		var cells []string
		for _, c := range a.world.cells {
			cells = append(cells, c.name)
		}
		a.allocator.SetCells(a.world.now, cells)
	}
	if a.world.mutation.unknownCountsAsZero {
		for _, state := range a.allocator.customers {
			for cell, limit := range state.limits {
				if limit[cpu] == unknown {
					state.limits[cell] = amounts{}
				}
			}
		}
	}
}

// fenced reports whether there is a newer allocator.
func (a *simAllocator) fenced() bool {
	return a.token < 0
}

// tick allocates and calls the owners of all cells, again and again.
func (a *simAllocator) tick(token int) {
	w := a.world
	if a.dead {
		return
	}
	w.after(simSyncInterval, func() { a.tick(token) })
	if a.version == 0 {
		return
	}
	a.allocate(token)
	for _, c := range w.cells {
		if !a.syncing[c.name] {
			a.syncing[c.name] = true
			a.sync(c, token)
		}
	}
}

// allocate allocates the cap and records raised limits.
func (a *simAllocator) allocate(token int) {
	w := a.world
	if a.recording {
		return
	}
	raised := a.allocator.Allocate(w.now)
	if w.mutation.allocateUnconfirmed {
		for _, state := range a.allocator.customers {
			for cell, target := range state.targets {
				state.limits[cell] = target
			}
		}
	}
	if len(raised) == 0 {
		return
	}
	record := a.allocator.Record(simCustomer)
	a.recording = true
	if w.mutation.sendBeforeRecord {
		a.allocator.MarkRecorded(raised)
	}
	delay := w.between(5*time.Millisecond, 30*time.Millisecond)
	if w.chance(0.1) {
		delay = w.between(100*time.Millisecond, 3*time.Second) // The store is unavailable.
	}
	w.after(delay, func() {
		if a.fenced() || a.dead && w.random.Float64() < 0.5 {
			a.dead = true
			return
		}
		w.records[simCustomer] = record
		a.recording = false
		a.allocator.MarkRecorded(raised)
		a.syncUpdated(token)
	})
}

// syncUpdated calls the owners of cells for which there is an update.
func (a *simAllocator) syncUpdated(token int) {
	for _, c := range a.world.cells {
		if !a.syncing[c.name] && a.allocator.HasUpdate(c.name) {
			a.syncing[c.name] = true
			a.sync(c, token)
		}
	}
}

// sync calls an owner of a cell, mostly the present one. Calls and replies may be lost, late, or
// delivered twice.
func (a *simAllocator) sync(c *simCell, token int) {
	w := a.world
	update := a.allocator.NextUpdate(c.name)
	args := wire.SyncArgs{
		Cell: c.name, Token: token, CellToken: update.OwnerToken, AllowanceNumber: update.Number, ConfigVersion: update.ConfigVersion, Allowances: slices.Clone(update.Allowances),
	}
	o := c.owners[len(c.owners)-1]
	if len(c.owners) > 1 && w.chance(0.2) {
		o = c.owners[len(c.owners)-2]
	}
	done := false
	finish := func(reply wire.SyncReply, ok bool) {
		if done || a.dead {
			return
		}
		done = true
		a.syncing[c.name] = false
		if ok {
			a.allocator.HandleReply(c.name, token, reply)
			a.allocate(token)
			a.syncUpdated(token)
		}
	}
	w.after(800*time.Millisecond, func() { finish(wire.SyncReply{}, false) })
	deliver := func() {
		o.whenAwake(func() {
			sent := false
			o.handleSync(args, func(reply wire.SyncReply) {
				if !sent && !w.chance(0.05) {
					w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { finish(reply, true) })
				}
				sent = true
			})
		})
	}
	if a.cutOff[c.name] && w.injectFaults || w.chance(0.05) {
		return
	}
	delay := w.between(time.Millisecond, 20*time.Millisecond)
	if w.chance(0.05) {
		delay = w.between(20*time.Millisecond, 2*time.Second)
	}
	w.after(delay, deliver)
	if w.chance(0.05) {
		w.after(delay+w.between(time.Millisecond, 3*time.Second), deliver)
	}
}
