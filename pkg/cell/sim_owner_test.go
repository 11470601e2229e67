package cell_test

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

var errNoAnswer = errors.New("no answer")

// simOwner is an owner of the cell, with the calls that it makes.
type simOwner struct {
	world *world
	name  string
	token int
	// stream is the place of the cell's stream among the world's. A moving owner gives no
	// orders that hang on its records any more.
	stream       int
	moving       bool
	cell         *cell.Cell
	lastSequence int
	ready        bool
	exited       bool
	// pausedUntil is when it goes on after a freeze.
	pausedUntil time.Time
	// suspendedTime is for how long its machine has been suspended: its clock doesn't count that.
	suspendedTime time.Duration
	// nextClaimCheck is when it next reads the claims.
	nextClaimCheck time.Time
	// cutOffFromStore says that its calls to the store get no answer.
	cutOffFromStore bool
	lastCallID      int
	pendingCalls    map[int]func(wire.JobReply)
}

// addOwner lets a new owner claim the cell. Earlier ones may not know.
func (w *world) addOwner() *simOwner {
	w.lastToken++
	o := &simOwner{world: w, stream: len(w.streams) - 1, name: string(rune('A' + (w.lastToken-1)%26)), token: w.lastToken, pendingCalls: map[int]func(wire.JobReply){}}
	o.cell = cell.New(simOptions(w.mutation), o.token)
	w.owners = append(w.owners, o)
	w.logf("owner %s claims with %d", o.name, o.token)
	o.takeOver()
	return o
}

// takeOver raises the epoch and loads, as often as it takes.
func (o *simOwner) takeOver() {
	w := o.world
	if o.exited {
		return
	}
	w.after(w.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
		if o.exited {
			return
		}
		if o.cutOffFromStore || w.streamDown[o.stream] || w.chance(0.1) {
			w.after(100*time.Millisecond, o.takeOver)
			return
		}
		if w.streams[o.stream].append(o.token, 0, nil) != nil {
			o.exit("fenced at takeover")
			return
		}
		w.after(w.randomDuration(time.Millisecond, 10*time.Millisecond), func() {
			if o.exited {
				return
			}
			if err := o.cell.Load(o.now(), w.streams[o.stream].records()); err != nil {
				w.rules.fail("load: %v", err)
				return
			}
			o.cell.SetQueues(o.now(), simQueues)
			o.cell.SetRejectsOverload(o.now(), w.registry == nil || w.mutation.staleCapacity)
			o.cell.SetEndpoints(o.now(), w.listedEndpoints())
			o.ready = true
			if w.planner != nil {
				w.planner.configureOwner(o)
			}
			o.tick()
			o.performEffects()
		})
	})
}

// now is the time by its clock.
func (o *simOwner) now() time.Time {
	return o.world.now.Add(-o.suspendedTime)
}

func (o *simOwner) exit(why string) {
	if o.exited {
		return
	}
	o.exited = true
	o.world.logf("owner %s ends: %s", o.name, why)
	for _, ticket := range slices.Sorted(maps.Keys(o.pendingCalls)) {
		o.pendingCalls[ticket](wire.JobReply{Outcome: wire.JobOutcomeUnknown})
	}
	o.pendingCalls = nil
}

// whenRunning runs something now, or once a freeze is over.
func (o *simOwner) whenRunning(do func()) {
	if o.exited {
		return
	}
	if o.world.now.Before(o.pausedUntil) {
		o.world.at(o.pausedUntil, func() { o.whenRunning(do) })
		return
	}
	do()
	if !o.world.mutation.hideSuspensions {
		o.cell.Suspended(o.suspendedTime)
	}
	o.performEffects()
}

func (o *simOwner) tick() {
	o.whenRunning(func() {
		if !o.cutOffFromStore && !o.world.now.Before(o.nextClaimCheck) {
			if o.token < o.world.lastToken {
				o.exit("sees a newer claim")
				return
			}
			o.cell.ConfirmOwnership(o.now())
		}
		if o.world.registry == nil || !o.world.registry.down {
			o.cell.SetEndpoints(o.now(), o.world.listedEndpoints())
		}
		o.cell.Tick(o.now())
		if o.cell.CommitAge(o.now()) > simMaxCommitAge && !o.cutOffFromStore {
			o.moveCell()
		}
		o.world.after(50*time.Millisecond, o.tick)
	})
}

// performEffects carries the cell's effects out.
func (o *simOwner) performEffects() {
	if o.exited || !o.ready {
		return
	}
	w := o.world
	effects := o.cell.TakeEffects()
	if effects.OwnershipLost {
		o.exit("deposed by an endpoint")
		return
	}
	for _, note := range effects.LogLines {
		if note.Message == "run lost" || strings.HasPrefix(note.Message, "job failed") {
			w.logf("%s: %s %s %s: %s", o.name, note.Message, note.Task, note.Job, note.Reason)
		}
	}
	for _, reply := range effects.Replies {
		if call := o.pendingCalls[reply.CallID]; call != nil {
			delete(o.pendingCalls, reply.CallID)
			w.after(w.randomDuration(time.Millisecond, 10*time.Millisecond), func() { call(reply.Reply) })
		}
	}
	if effects.Commit != nil {
		o.lastSequence++
		o.append(*effects.Commit, o.lastSequence)
	}
	for _, start := range effects.Starts {
		o.sendStart(start)
	}
	for _, stop := range effects.Stops {
		o.sendStop(stop)
	}
	for _, look := range effects.Polls {
		o.sendPoll(look)
	}
	if effects.ListBoxes {
		w.after(w.randomDuration(5*time.Millisecond, 50*time.Millisecond), func() {
			boxes := w.boxList()
			w.after(5*time.Millisecond, func() { o.whenRunning(func() { o.cell.SetBoxes(o.now(), boxes) }) })
		})
	}
}

// append repeats an append until it is answered.
func (o *simOwner) append(commit cell.Commit, sequence int) {
	w := o.world
	if w.mutation.dropRuns {
		commit.Records = editJobRecords(commit.Records, func(job *wire.JobRecord) {
			for i := range job.Tasks {
				job.Tasks[i] = job.Tasks[i][:columnsBeforeRuns]
			}
		})
	}
	if w.mutation.dropCrashes {
		commit.Records = editJobRecords(commit.Records, func(job *wire.JobRecord) { job.Crashed = nil })
	}
	if w.mutation.startBeforeRecord || w.mutation.replyBeforeRecord {
		// The owner goes on as if the record were there; it comes much later.
		o.whenRunningSoon(func() { o.cell.Committed(o.now(), commit.Number) })
		w.after(400*time.Millisecond, func() { _ = w.streams[o.stream].append(o.token, sequence, commit.Records) })
		return
	}
	var try func()
	try = func() {
		if o.exited {
			return
		}
		if o.cutOffFromStore || w.streamDown[o.stream] || w.chance(0.05) {
			// The call is lost on its way there, or turned away.
			w.after(250*time.Millisecond, try)
			return
		}
		w.after(w.randomDuration(2*time.Millisecond, 15*time.Millisecond), func() {
			err := w.streams[o.stream].append(o.token, sequence, commit.Records)
			if w.chance(0.05) {
				// It was done, and the answer is lost.
				w.after(250*time.Millisecond, try)
				return
			}
			if err != nil {
				o.exit("append: " + err.Error())
				return
			}
			o.whenRunning(func() {
				if !o.moving || w.mutation.commitAfterMove {
					o.cell.Committed(o.now(), commit.Number)
				}
			})
		})
	}
	try()
}

// simMaxCommitAge is how long an append may be stuck until its owner moves its cell.
const simMaxCommitAge = 300 * time.Millisecond

// moveCell goes on with the cell in a new stream: a snapshot first, then the claim that names
// it. Others may claim the cell in between, and the snapshot may come to nothing.
func (o *simOwner) moveCell() {
	w := o.world
	if o.moving {
		return
	}
	o.moving = true
	snapshot := o.cell.Snapshot()
	w.logf("owner %s moves its cell, %d records", o.name, len(snapshot))
	w.after(w.randomDuration(5*time.Millisecond, 400*time.Millisecond), func() {
		if o.exited {
			return
		}
		fresh := newSimStream()
		if fresh.append(o.token, 1, snapshot) != nil {
			return
		}
		w.after(w.randomDuration(5*time.Millisecond, 400*time.Millisecond), func() {
			if o.exited || o.token < w.lastToken {
				// A newer claim names the old stream.
				o.exit("sees a newer claim")
				return
			}
			w.streams = append(w.streams, fresh)
			w.addOwner()
			o.exit("has moved its cell")
		})
	})
}

func (o *simOwner) whenRunningSoon(do func()) {
	o.world.after(time.Millisecond, func() { o.whenRunning(do) })
}

// call calls an endpoint. Do runs there; done gets the answer or an error. Orders
// may be lost, answered late or not, or carried out much later.
func (o *simOwner) call(id string, do func(e *simEndpoint) func() error, done func(err error)) {
	w := o.world
	e := w.newestLife(id)
	switch {
	case e != nil && !e.exited:
		o.callLife(e, do, done)
	case w.sharedIDs:
		o.callSharedID(id, do, done)
	case w.resetsOnExit:
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrNotSent) })
	default:
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrOtherLife) })
	}
}

// callTimeout is how long a call waits for its answer.
const callTimeout = 200 * time.Millisecond

// callSharedID calls an ID under which no life is now: none answers, or one that comes while the
// call still waits for its connection.
func (o *simOwner) callSharedID(id string, do func(e *simEndpoint) func() error, done func(err error)) {
	w := o.world
	if w.resetsOnExit {
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrNotSent) })
		return
	}
	w.after(w.randomDuration(time.Millisecond, callTimeout), func() {
		if e := w.newestLife(id); !e.exited {
			o.callLife(e, do, done)
			return
		}
		done(errNoAnswer)
	})
}

// callLife makes a call over a connection with one life: an order that is late is carried out
// by that one or not at all.
func (o *simOwner) callLife(e *simEndpoint, do func(e *simEndpoint) func() error, done func(err error)) {
	w := o.world
	cut := w.cuts[o.name+e.info.Box]
	if cut || w.chance(0.02) {
		w.after(callTimeout, func() { done(errNoAnswer) })
		return
	}
	late := w.chance(0.03)
	delay := w.randomDuration(time.Millisecond, 20*time.Millisecond)
	if late {
		delay = w.randomDuration(300*time.Millisecond, 3*time.Second)
		w.after(callTimeout, func() { done(errNoAnswer) })
	}
	w.after(delay, func() {
		if e.exited {
			if !late {
				done(errNoAnswer)
			}
			return
		}
		w.requestDelayed = late
		answer := do(e)
		w.requestDelayed = false
		if late {
			return
		}
		if w.chance(0.02) {
			w.after(callTimeout, func() { done(errNoAnswer) })
			return
		}
		w.after(w.randomDuration(time.Millisecond, 20*time.Millisecond), func() { done(answer()) })
	})
}

func (o *simOwner) sendStart(start cell.Start) {
	o.call(start.Endpoint.Life.ID, func(e *simEndpoint) func() error {
		err := e.start(start.Request)
		return func() error { return err }
	}, func(err error) {
		o.whenRunning(func() { o.cell.Started(o.now(), start.Endpoint.Life, start.Request.Run, err) })
	})
}

func (o *simOwner) sendStop(stop cell.Stop) {
	o.call(stop.Endpoint.Life.ID, func(e *simEndpoint) func() error {
		err := e.stop(stop.Request)
		return func() error { return err }
	}, func(err error) {
		o.whenRunning(func() { o.cell.Stopped(o.now(), stop.Endpoint.Life, stop.Request.Run, err) })
	})
}

func (o *simOwner) sendPoll(look cell.Poll) {
	w := o.world
	order := look.Request
	if w.mutation.ackUnrecorded {
		order.AckedSequence = 1 << 30
	}
	var found damsonwinch.PollReply
	var there *simEndpoint
	o.call(look.Endpoint.Life.ID, func(e *simEndpoint) func() error {
		there = e
		answer, err := e.pollAddressedTo(look.Endpoint.Life, order)
		found = answer
		return func() error { return err }
	}, func(err error) {
		if w.promptPolls && err == nil && len(found.Finished) == 0 && order.MaxWait > 0 {
			o.holdPoll(look, order, there)
			return
		}
		wait := time.Duration(0)
		if err == nil && len(found.Finished) == 0 {
			// It waits for an end; what it shows is as old as that.
			wait = order.MaxWait
		}
		w.after(wait, func() {
			o.whenRunning(func() { o.cell.Polled(o.now(), look.Endpoint.Life, look.Number, found, err) })
		})
	})
}

// holdPoll has a look wait at its endpoint: for an end, its time, or the end of the life.
func (o *simOwner) holdPoll(look cell.Poll, order damsonwinch.PollRequest, e *simEndpoint) {
	w := o.world
	answered := false
	answer := func(delay time.Duration, broken error) {
		if answered {
			return
		}
		answered = true
		var found damsonwinch.PollReply
		err := broken
		if err == nil {
			found, err = e.pollAddressedTo(look.Endpoint.Life, order)
		}
		w.after(delay, func() {
			o.whenRunning(func() { o.cell.Polled(o.now(), look.Endpoint.Life, look.Number, found, err) })
		})
	}
	ended := func() { answer(w.randomDuration(time.Millisecond, 10*time.Millisecond), nil) }
	broke := func() {
		if w.resetsOnExit {
			answer(2*time.Millisecond, errNoAnswer)
		} else {
			answer(order.MaxWait+200*time.Millisecond, errNoAnswer)
		}
	}
	switch {
	case e.exited:
		broke()
	case len(e.finished) > 0 && e.finished[len(e.finished)-1].Sequence > order.AckedSequence:
		ended()
	default:
		e.onResult = append(e.onResult, ended)
		e.onExit = append(e.onExit, broke)
		w.after(order.MaxWait, func() {
			if !e.exited {
				ended()
			}
		})
	}
}
