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
	stream   int
	moving   bool
	cell     *cell.Cell
	sequence int
	ready    bool
	dead     bool
	// pausedUntil is when it goes on after a freeze.
	pausedUntil time.Time
	// slept is for how long its machine has been suspended: its clock doesn't count that.
	slept time.Duration
	// blindUntil is when it next reads the claims.
	blindUntil time.Time
	// cutFromStore says that its calls to the store get no answer.
	cutFromStore bool
	ticket       int
	calls        map[int]func(wire.JobReply)
}

// addOwner lets a new owner claim the cell. Earlier ones may not know.
func (w *world) addOwner() *simOwner {
	w.token++
	o := &simOwner{world: w, stream: len(w.streams) - 1, name: string(rune('A' + (w.token-1)%26)), token: w.token, calls: map[int]func(wire.JobReply){}}
	o.cell = cell.New(simOptions(w.sabotage), o.token)
	w.owners = append(w.owners, o)
	w.logf("owner %s claims with %d", o.name, o.token)
	o.takeOver()
	return o
}

// takeOver raises the epoch and loads, as often as it takes.
func (o *simOwner) takeOver() {
	w := o.world
	if o.dead {
		return
	}
	w.after(w.between(time.Millisecond, 20*time.Millisecond), func() {
		if o.dead {
			return
		}
		if o.cutFromStore || w.out[o.stream] || w.chance(0.1) {
			w.after(100*time.Millisecond, o.takeOver)
			return
		}
		if w.streams[o.stream].append(o.token, 0, nil) != nil {
			o.die("fenced at takeover")
			return
		}
		w.after(w.between(time.Millisecond, 10*time.Millisecond), func() {
			if o.dead {
				return
			}
			if err := o.cell.Load(o.now(), w.streams[o.stream].records()); err != nil {
				w.rules.fail("load: %v", err)
				return
			}
			o.cell.SetQueues(o.now(), simQueues)
			o.cell.SetRejectsOverload(o.now(), w.room == nil || w.sabotage.oldRoom)
			o.cell.SetEndpoints(o.now(), w.listed())
			o.ready = true
			if w.caps != nil {
				w.caps.configure(o)
			}
			o.tick()
			o.act()
		})
	})
}

// now is the time by its clock.
func (o *simOwner) now() time.Time {
	return o.world.now.Add(-o.slept)
}

func (o *simOwner) die(why string) {
	if o.dead {
		return
	}
	o.dead = true
	o.world.logf("owner %s ends: %s", o.name, why)
	for _, ticket := range slices.Sorted(maps.Keys(o.calls)) {
		o.calls[ticket](wire.JobReply{Outcome: wire.JobOutcomeUnknown})
	}
	o.calls = nil
}

// whenAwake runs something now, or once a freeze is over.
func (o *simOwner) whenAwake(do func()) {
	if o.dead {
		return
	}
	if o.world.now.Before(o.pausedUntil) {
		o.world.at(o.pausedUntil, func() { o.whenAwake(do) })
		return
	}
	do()
	if !o.world.sabotage.sleepless {
		o.cell.Suspended(o.slept)
	}
	o.act()
}

func (o *simOwner) tick() {
	o.whenAwake(func() {
		if !o.cutFromStore && !o.world.now.Before(o.blindUntil) {
			if o.token < o.world.token {
				o.die("sees a newer claim")
				return
			}
			o.cell.ConfirmOwnership(o.now())
		}
		if o.world.room == nil || !o.world.room.out {
			o.cell.SetEndpoints(o.now(), o.world.listed())
		}
		o.cell.Tick(o.now())
		if o.cell.CommitAge(o.now()) > simStuck && !o.cutFromStore {
			o.move()
		}
		o.world.after(50*time.Millisecond, o.tick)
	})
}

// act carries the cell's effects out.
func (o *simOwner) act() {
	if o.dead || !o.ready {
		return
	}
	w := o.world
	effects := o.cell.TakeEffects()
	if effects.OwnershipLost {
		o.die("deposed by an endpoint")
		return
	}
	for _, note := range effects.LogLines {
		if note.Message == "run lost" || strings.HasPrefix(note.Message, "job failed") {
			w.logf("%s: %s %s %s: %s", o.name, note.Message, note.Task, note.Job, note.Reason)
		}
	}
	for _, reply := range effects.Replies {
		if call := o.calls[reply.CallID]; call != nil {
			delete(o.calls, reply.CallID)
			w.after(w.between(time.Millisecond, 10*time.Millisecond), func() { call(reply.Reply) })
		}
	}
	if effects.Commit != nil {
		o.sequence++
		o.commit(*effects.Commit, o.sequence)
	}
	for _, start := range effects.Starts {
		o.start(start)
	}
	for _, stop := range effects.Stops {
		o.stop(stop)
	}
	for _, look := range effects.Polls {
		o.look(look)
	}
	if effects.ListBoxes {
		w.after(w.between(5*time.Millisecond, 50*time.Millisecond), func() {
			boxes := w.boxes()
			w.after(5*time.Millisecond, func() { o.whenAwake(func() { o.cell.SetBoxes(o.now(), boxes) }) })
		})
	}
}

// commit repeats an append until it is answered.
func (o *simOwner) commit(commit cell.Commit, sequence int) {
	w := o.world
	if w.sabotage.dropRuns {
		commit.Records = without(commit.Records, func(job *wire.JobRecord) {
			for i := range job.Tasks {
				job.Tasks[i] = job.Tasks[i][:taskColumns]
			}
		})
	}
	if w.sabotage.dropCrashes {
		commit.Records = without(commit.Records, func(job *wire.JobRecord) { job.Crashed = nil })
	}
	if w.sabotage.startBeforeRecord || w.sabotage.answerEarly {
		// The owner goes on as if the record were there; it comes much later.
		o.whenAwakeSoon(func() { o.cell.Committed(o.now(), commit.Number) })
		w.after(400*time.Millisecond, func() { _ = w.streams[o.stream].append(o.token, sequence, commit.Records) })
		return
	}
	var try func()
	try = func() {
		if o.dead {
			return
		}
		if o.cutFromStore || w.out[o.stream] || w.chance(0.05) {
			// The call is lost on its way there, or turned away.
			w.after(250*time.Millisecond, try)
			return
		}
		w.after(w.between(2*time.Millisecond, 15*time.Millisecond), func() {
			err := w.streams[o.stream].append(o.token, sequence, commit.Records)
			if w.chance(0.05) {
				// It was done, and the answer is lost.
				w.after(250*time.Millisecond, try)
				return
			}
			if err != nil {
				o.die("append: " + err.Error())
				return
			}
			o.whenAwake(func() {
				if !o.moving || w.sabotage.moveAndCommit {
					o.cell.Committed(o.now(), commit.Number)
				}
			})
		})
	}
	try()
}

// simStuck is how long an append may be stuck until its owner moves its cell.
const simStuck = 300 * time.Millisecond

// move goes on with the cell in a new stream: a snapshot first, then the claim that names
// it. Others may claim the cell in between, and the snapshot may come to nothing.
func (o *simOwner) move() {
	w := o.world
	if o.moving {
		return
	}
	o.moving = true
	snapshot := o.cell.Snapshot()
	w.logf("owner %s moves its cell, %d records", o.name, len(snapshot))
	w.after(w.between(5*time.Millisecond, 400*time.Millisecond), func() {
		if o.dead {
			return
		}
		fresh := newSimStream()
		if fresh.append(o.token, 1, snapshot) != nil {
			return
		}
		w.after(w.between(5*time.Millisecond, 400*time.Millisecond), func() {
			if o.dead || o.token < w.token {
				// A newer claim names the old stream.
				o.die("sees a newer claim")
				return
			}
			w.streams = append(w.streams, fresh)
			w.addOwner()
			o.die("has moved its cell")
		})
	})
}

func (o *simOwner) whenAwakeSoon(do func()) {
	o.world.after(time.Millisecond, func() { o.whenAwake(do) })
}

// reach calls an endpoint. Do runs there; done gets the answer or an error. Orders
// may be lost, answered late or not, or carried out much later.
func (o *simOwner) reach(id string, do func(e *simEndpoint) func() error, done func(err error)) {
	w := o.world
	e := w.endpoint(id)
	switch {
	case e != nil && !e.dead:
		o.connected(e, do, done)
	case w.reborn:
		o.reconnect(id, do, done)
	case w.resets:
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrNotSent) })
	default:
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrOtherLife) })
	}
}

// callTime is how long a call waits for its answer.
const callTime = 200 * time.Millisecond

// reconnect calls an ID under which no life is now: none answers, or one that comes while the
// call still waits for its connection.
func (o *simOwner) reconnect(id string, do func(e *simEndpoint) func() error, done func(err error)) {
	w := o.world
	if w.resets {
		w.after(3*time.Millisecond, func() { done(damsonwinch.ErrNotSent) })
		return
	}
	w.after(w.between(time.Millisecond, callTime), func() {
		if e := w.endpoint(id); !e.dead {
			o.connected(e, do, done)
			return
		}
		done(errNoAnswer)
	})
}

// connected makes a call over a connection with one life: an order that is late is carried out
// by that one or not at all.
func (o *simOwner) connected(e *simEndpoint, do func(e *simEndpoint) func() error, done func(err error)) {
	w := o.world
	cut := w.cuts[o.name+e.info.Box]
	if cut || w.chance(0.02) {
		w.after(callTime, func() { done(errNoAnswer) })
		return
	}
	late := w.chance(0.03)
	delay := w.between(time.Millisecond, 20*time.Millisecond)
	if late {
		delay = w.between(300*time.Millisecond, 3*time.Second)
		w.after(callTime, func() { done(errNoAnswer) })
	}
	w.after(delay, func() {
		if e.dead {
			if !late {
				done(errNoAnswer)
			}
			return
		}
		w.late = late
		answer := do(e)
		w.late = false
		if late {
			return
		}
		if w.chance(0.02) {
			w.after(callTime, func() { done(errNoAnswer) })
			return
		}
		w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { done(answer()) })
	})
}

func (o *simOwner) start(start cell.Start) {
	o.reach(start.Endpoint.Life.ID, func(e *simEndpoint) func() error {
		err := e.start(start.Request)
		return func() error { return err }
	}, func(err error) {
		o.whenAwake(func() { o.cell.Started(o.now(), start.Endpoint.Life, start.Request.Run, err) })
	})
}

func (o *simOwner) stop(stop cell.Stop) {
	o.reach(stop.Endpoint.Life.ID, func(e *simEndpoint) func() error {
		err := e.stop(stop.Request)
		return func() error { return err }
	}, func(err error) {
		o.whenAwake(func() { o.cell.Stopped(o.now(), stop.Endpoint.Life, stop.Request.Run, err) })
	})
}

func (o *simOwner) look(look cell.Poll) {
	w := o.world
	order := look.Request
	if w.sabotage.forgetEarly {
		order.AckedSequence = 1 << 30
	}
	var found damsonwinch.PollReply
	var there *simEndpoint
	o.reach(look.Endpoint.Life.ID, func(e *simEndpoint) func() error {
		there = e
		answer, err := e.lookFor(look.Endpoint.Life, order)
		found = answer
		return func() error { return err }
	}, func(err error) {
		if w.attentive && err == nil && len(found.Finished) == 0 && order.MaxWait > 0 {
			o.await(look, order, there)
			return
		}
		wait := time.Duration(0)
		if err == nil && len(found.Finished) == 0 {
			// It waits for an end; what it shows is as old as that.
			wait = order.MaxWait
		}
		w.after(wait, func() {
			o.whenAwake(func() { o.cell.Polled(o.now(), look.Endpoint.Life, look.Number, found, err) })
		})
	})
}

// await has a look wait at its endpoint: for an end, its time, or the end of the life.
func (o *simOwner) await(look cell.Poll, order damsonwinch.PollRequest, e *simEndpoint) {
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
			found, err = e.lookFor(look.Endpoint.Life, order)
		}
		w.after(delay, func() {
			o.whenAwake(func() { o.cell.Polled(o.now(), look.Endpoint.Life, look.Number, found, err) })
		})
	}
	ended := func() { answer(w.between(time.Millisecond, 10*time.Millisecond), nil) }
	broke := func() {
		if w.resets {
			answer(2*time.Millisecond, errNoAnswer)
		} else {
			answer(order.MaxWait+200*time.Millisecond, errNoAnswer)
		}
	}
	switch {
	case e.dead:
		broke()
	case len(e.finished) > 0 && e.finished[len(e.finished)-1].Sequence > order.AckedSequence:
		ended()
	default:
		e.waiting = append(e.waiting, ended)
		e.breaking = append(e.breaking, broke)
		w.after(order.MaxWait, func() {
			if !e.dead {
				ended()
			}
		})
	}
}
