package quota

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// simCell is a cell with the contents of its stream, and with its owners, the newest last.
type simCell struct {
	name   string
	world  *world
	token  int
	record *wire.AllowancesRecord
	runs   []*simRun // Those whose start is recorded and whose end isn't.
	owners []*simOwner
	// demand is how many tasks its clients want to have running, and nextNeed the need of the task
	// that is to start next.
	demand   int
	nextNeed int
}

// simRun is a run of a task, with the token of the owner that started it.
type simRun struct {
	need  int
	token int
	ended bool
}

// simOwner is an owner of a cell. A dead or paused owner handles nothing.
type simOwner struct {
	cell        *simCell
	token       int
	allowances  *Allowances
	runs        []*simRun
	dead        bool
	pausedUntil time.Time
	version     int
	delivery    delivery
}

// newOwner gives the cell a new owner, which restores its state from the cell's stream.
func (c *simCell) newOwner() {
	w := c.world
	c.token = w.nextToken()
	o := &simOwner{cell: c, token: c.token, allowances: NewAllowances()}
	c.owners = append(c.owners, o)
	w.logf("%s is owned by %d", c.name, o.token)
	if c.record != nil {
		o.allowances.Load(*c.record)
	}
	for _, r := range c.runs {
		o.runs = append(o.runs, r)
		if !w.mutation.newOwnerForgetsRuns {
			o.allowances.AddRun(simCustomer, damsonwinch.Resources{MilliCPU: r.need}, false)
		}
		if r.ended {
			// Its endpoint reports that it doesn't have the run.
			w.after(w.between(5*time.Millisecond, 200*time.Millisecond), func() { o.whenAwake(func() { o.removeRun(r) }) })
		}
	}
	newest := w.versions[len(w.versions)-1]
	w.after(o.delivery.next(w, maxOwnerConfigDelay), func() { o.applyConfig(newest) })
	w.after(0, o.tick)
}

// applyConfig applies a configuration unless the owner has a newer one.
func (o *simOwner) applyConfig(version simVersion) {
	o.whenAwake(func() {
		if version.number <= o.version {
			return
		}
		o.version = version.number
		o.allowances.Configure(version.number, customers(version.cap))
	})
}

// whenAwake runs a function now, or once the owner is no longer paused; never if it is dead.
func (o *simOwner) whenAwake(do func()) {
	w := o.cell.world
	if o.dead {
		return
	}
	if w.now.Before(o.pausedUntil) {
		w.after(o.pausedUntil.Sub(w.now), func() { o.whenAwake(do) })
		return
	}
	do()
}

// tick starts the tasks that may start, again and again.
func (o *simOwner) tick() {
	o.whenAwake(func() {
		w := o.cell.world
		if o.version > 0 {
			for waiting := o.cell.demand - len(o.runs); waiting > 0; waiting-- {
				if o.cell.nextNeed == 0 {
					o.cell.nextNeed = 1 + w.random.IntN(9)
					if w.random.Float64() < w.oversizedPart {
						o.cell.nextNeed = 600 // More than any cap.
					}
				}
				if !o.allows(o.cell.nextNeed) {
					break
				}
				o.startRun(o.cell.nextNeed)
				o.cell.nextNeed = 0
			}
		}
		w.after(30*time.Millisecond, o.tick)
	})
}

// allows reports whether a task may start.
func (o *simOwner) allows(need int) bool {
	if o.cell.world.mutation.ignoreLoweredCap {
		o.allowances.allocatedVersion = max(o.allowances.allocatedVersion, o.allowances.configVersion)
	}
	return o.allowances.Allows(simCustomer, damsonwinch.Resources{MilliCPU: need})
}

// startRun counts a run of a task that needs the given CPU, records it and requests its start. The
// endpoint may carry the request out late.
func (o *simOwner) startRun(need int) {
	w := o.cell.world
	r := &simRun{need: need, token: o.token}
	o.runs = append(o.runs, r)
	o.allowances.AddRun(simCustomer, damsonwinch.Resources{MilliCPU: need}, false)
	w.after(w.between(5*time.Millisecond, 40*time.Millisecond), func() {
		if o.token != o.cell.token {
			return // The owner is fenced: the start is never requested.
		}
		o.cell.runs = append(o.cell.runs, r)
		if o.dead || w.now.Before(o.pausedUntil) && w.random.Float64() < 0.5 {
			// The start is recorded and never requested: a later owner finds that out.
			w.after(simLease, func() { o.cell.reportEnd(r) })
			return
		}
		delay := w.between(time.Millisecond, 10*time.Millisecond)
		if w.chance(0.03) {
			delay = w.between(500*time.Millisecond, 2400*time.Millisecond)
		}
		w.after(delay, func() { w.runStarted(o.cell, r) })
	})
}

// removeRun takes back a run that has ended.
func (o *simOwner) removeRun(r *simRun) {
	if at := slices.Index(o.runs, r); at >= 0 {
		o.runs = slices.Delete(o.runs, at, at+1)
		o.allowances.RemoveRun(simCustomer, damsonwinch.Resources{MilliCPU: r.need}, false)
	}
}

// reportEnd reports to the cell's owners that a run has ended. The record of that comes a little
// later.
func (c *simCell) reportEnd(r *simRun) {
	if r.ended {
		return
	}
	r.ended = true
	for _, o := range c.owners {
		o.whenAwake(func() { o.removeRun(r) })
	}
	c.world.after(c.world.between(5*time.Millisecond, 40*time.Millisecond), func() {
		if at := slices.Index(c.runs, r); at >= 0 {
			c.runs = slices.Delete(c.runs, at, at+1)
		}
	})
}

// handleSync handles a call of an allocator. It calls send with the reply once the update is recorded,
// or after a short while.
func (o *simOwner) handleSync(args wire.SyncArgs, send func(wire.SyncReply)) {
	w := o.cell.world
	if w.mutation.acceptForeignUpdates {
		args.CellToken = o.token
	}
	if o.allowances.ApplyUpdate(o.token, args) {
		record, number := o.allowances.Record()
		token := o.allowances.AllocatorToken()
		w.after(w.between(5*time.Millisecond, 60*time.Millisecond), func() {
			if o.token != o.cell.token {
				return
			}
			o.cell.record = &record
			o.whenAwake(func() {
				o.allowances.MarkRecorded(token, number)
				send(o.report())
			})
		})
		w.after(w.between(30*time.Millisecond, 80*time.Millisecond), func() { send(o.report()) })
		if w.chance(0.03) {
			w.after(time.Millisecond, func() {
				w.logf("owner %d of %s is killed as it receives an update", o.token, o.cell.name)
				o.dead = true
				o.cell.newOwner()
				w.concentrateDemand(o.cell)
				w.cutOff(o.cell)
			})
		}
		return
	}
	send(o.report())
}

// report returns the owner's reply to an allocator.
func (o *simOwner) report() wire.SyncReply {
	reply := wire.SyncReply{Known: true}
	demands := map[string]Demand{}
	if waiting := o.cell.demand - len(o.runs); waiting > 0 {
		demands[simCustomer] = Demand{}.WithTasks(damsonwinch.Resources{MilliCPU: 5}, waiting).WithTasks(damsonwinch.Resources{MilliCPU: o.cell.nextNeed}, 1)
	}
	o.allowances.Report(o.token, demands, &reply)
	return reply
}
