package cell_test

import (
	"encoding/json"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// simClient submits one job, asks for its state, and cancels it in some simulations.
type simClient struct {
	world    *world
	id       string
	queue    string
	spec     wire.JobSpec
	accepted bool
	// unsentSubmits counts the tries for which no owner was found. If there were no others, the job
	// must never run. unknownSubmits counts the tries with any outcome other than accepted.
	unsentSubmits   int
	unknownSubmits  int
	cancelRequested bool
	// cancelled is set once a client was told that the job has been cancelled or doesn't exist. It then never runs
	// after cancelledAt plus simCancelTime.
	cancelled   bool
	cancelledAt time.Time
	// state is the state that the client was last shown.
	state wire.JobState
}

// addClient adds a client that submits a job at once.
func (w *world) addClient(id string, spec wire.JobSpec, behaviour taskBehaviour) *simClient {
	c := &simClient{world: w, id: id, spec: spec, queue: simQueues[0].Name}
	w.behaviours[id] = behaviour
	w.clients = append(w.clients, c)
	c.submit(0)
	return c
}

// customer returns the customer of the job, or an empty string in simulations without a cap.
func (c *simClient) customer() string {
	if c.world.planner == nil || c.world.mutation.uncapped {
		return ""
	}
	return cappedCustomer
}

// chooseOwner returns the owner that a node takes for the present one, or nil: usually the newest.
func (w *world) chooseOwner() *simOwner {
	for i := len(w.owners) - 1; i >= 0; i-- {
		o := w.owners[i]
		if !o.exited && o.ready && (i == len(w.owners)-1 || !w.chance(0.5)) {
			return o
		}
	}
	return nil
}

// maxSubmitTries is how often a client submits a job again when it finds no owner.
const maxSubmitTries = 40

// submit submits the job and tries again until it is accepted.
func (c *simClient) submit(try int) {
	w := c.world
	retry := func() {
		w.after(w.randomDuration(50*time.Millisecond, 400*time.Millisecond), func() { c.submit(try + 1) })
	}
	o := w.chooseOwner()
	if o == nil {
		c.unsentSubmits++
		if try < maxSubmitTries {
			retry()
		}
		return
	}
	c.call(o, c.sendSubmit, func(reply wire.JobReply) {
		switch {
		case reply.Outcome == wire.JobOutcomeAccepted:
			if !c.accepted {
				w.logf("client: %s accepted by %s", c.id, o.name)
			}
			c.accepted = true
			if w.chance(0.2) {
				// Some clients submit a job again although it was accepted.
				retry()
			}
		case !c.cancelled:
			c.unknownSubmits++
			retry()
		}
	})
}

// simCancelTime is how long after the reply to a cancellation a task of the job may start.
const simCancelTime = 3 * time.Second

// cancel cancels the job and tries again until that is accepted, or an owner says that there is no such job.
func (c *simClient) cancel() {
	w := c.world
	c.cancelRequested = true
	o := w.chooseOwner()
	if o == nil {
		w.after(200*time.Millisecond, c.cancel)
		return
	}
	c.call(o, c.sendCancel, func(reply wire.JobReply) {
		switch {
		case reply.Outcome == wire.JobOutcomeAccepted, reply.Outcome == wire.JobOutcomeNoSuchJob:
			w.logf("client: %s cancelled by %s: %s", c.id, o.name, reply.Outcome)
			c.cancelled, c.cancelledAt = true, w.now
		case !c.cancelled:
			w.after(200*time.Millisecond, c.cancel)
		}
	})
}

// query asks an owner for the job. The owner must know it if it was accepted before. An owner that doesn't know it
// appends to its stream, by which a former owner learns that it is one: without queries it depends on other mechanisms.
func (c *simClient) query(o *simOwner) {
	if c.world.mutation.hideSuspensions {
		return
	}
	accepted := c.accepted
	c.call(o, c.sendQuery, func(reply wire.JobReply) {
		if accepted && reply.Outcome == wire.JobOutcomeNoSuchJob {
			c.world.rules.fail("LOST: %s was accepted but %s replies that there is no such job", c.id, o.name)
		}
	})
}

// args returns the arguments of the client's calls.
func (c *simClient) args() wire.JobArgs {
	return wire.JobArgs{Queue: c.queue, Id: c.id, Customer: c.customer(), ReceivedMs: int(c.world.now.UnixMilli())}
}

func (c *simClient) sendSubmit(o *simOwner, callID int) {
	spec, args := c.spec, c.args()
	args.Spec = &spec
	o.cell.Submit(o.now(), args, callID)
}

func (c *simClient) sendCancel(o *simOwner, callID int) { o.cell.Cancel(o.now(), c.args(), callID) }

func (c *simClient) sendQuery(o *simOwner, callID int) { o.cell.Query(o.now(), c.args(), callID) }

// call sends a call to an owner and calls done with the reply.
func (c *simClient) call(o *simOwner, send func(o *simOwner, callID int), done func(wire.JobReply)) {
	w := c.world
	w.after(w.randomDuration(time.Millisecond, 10*time.Millisecond), func() {
		if o.exited {
			done(wire.JobReply{Outcome: wire.JobOutcomeUnknown})
			return
		}
		o.whenRunning(func() {
			o.lastCallID++
			if o.pendingCalls != nil {
				o.pendingCalls[o.lastCallID] = done
			}
			send(o, o.lastCallID)
		})
	})
}

// watchState calls checkState again and again.
func (c *simClient) watchState() {
	defer c.world.after(c.world.randomDuration(50*time.Millisecond, 300*time.Millisecond), c.watchState)
	c.checkState()
}

// checkState asks for the job's state and checks it.
func (c *simClient) checkState() {
	w := c.world
	o := w.chooseOwner()
	if o == nil || w.now.Before(o.pausedUntil) {
		return
	}
	state, known := o.cell.Show(wire.JobArgs{Queue: c.queue, Id: c.id, Customer: c.customer()})
	newest := o == w.owners[len(w.owners)-1]
	if !known {
		if newest && c.accepted {
			w.rules.fail("LOST: %s was accepted but %s does not know it", c.id, o.name)
		}
		c.query(o)
		return
	}
	w.rules.checkShown(o, c, state)
	c.state = state
}

// columnsBeforeRuns is the number of columns before those of the attempts, in a task's row of a
// job's record.
const columnsBeforeRuns = 6

// editJobRecords returns the records with edit applied to those that hold a job's state.
func editJobRecords(records []damsonwinch.Record, edit func(*wire.JobRecord)) []damsonwinch.Record {
	var edited []damsonwinch.Record
	for _, record := range records {
		var job wire.JobRecord
		if strings.Contains(record.Key, "/") || len(record.Value) == 0 || json.Unmarshal(record.Value, &job) != nil {
			edited = append(edited, record)
			continue
		}
		edit(&job)
		text, err := json.Marshal(job)
		if err == nil {
			record.Value = text
		}
		edited = append(edited, record)
	}
	return edited
}

// unfinished reports whether the job was accepted, ends by itself and has not ended yet, as far as
// the client knows.
func (c *simClient) unfinished() bool {
	if !c.accepted || c.cancelRequested || c.spec.Phases[0].Lasting {
		return false
	}
	return c.state != wire.JobStateCompleted && c.state != wire.JobStateFailed
}
