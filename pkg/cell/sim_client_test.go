package cell_test

import (
	"encoding/json"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// simClient hands in one job, asks for it and perhaps cancels it.
type simClient struct {
	world    *world
	id       string
	queue    string
	spec     wire.JobSpec
	accepted bool
	// unsentSubmits counts the tries that were told that the job will never run, and
	// open those whose outcome nobody knows.
	unsentSubmits   int
	unknownSubmits  int
	cancelRequested bool
	cancelled       bool
	state           wire.JobState
}

func (w *world) addClient(id string, spec wire.JobSpec, behaviour taskBehaviour) *simClient {
	c := &simClient{world: w, id: id, spec: spec, queue: simQueues[0].Name}
	w.behaviours[id] = behaviour
	w.clients = append(w.clients, c)
	c.submit(0)
	return c
}

// customer is whose the job is, in runs with a capped customer.
func (c *simClient) customer() string {
	if c.world.planner == nil || c.world.mutation.uncapped {
		return ""
	}
	return cappedCustomer
}

// pickOwner returns the pickOwner that a node believes in: usually the newest.
func (w *world) pickOwner() *simOwner {
	for i := len(w.owners) - 1; i >= 0; i-- {
		o := w.owners[i]
		if !o.exited && o.ready && (i == len(w.owners)-1 || !w.chance(0.5)) {
			return o
		}
	}
	return nil
}

const maxSubmitTries = 40

func (c *simClient) submit(try int) {
	w := c.world
	again := func() {
		w.after(w.randomDuration(50*time.Millisecond, 400*time.Millisecond), func() { c.submit(try + 1) })
	}
	o := w.pickOwner()
	if o == nil {
		c.unsentSubmits++
		if try < maxSubmitTries {
			again()
		}
		return
	}
	c.call(o, false, func(reply wire.JobReply) {
		switch reply.Outcome {
		case wire.JobOutcomeAccepted:
			if !c.accepted {
				w.logf("client: %s accepted by %s", c.id, o.name)
			}
			c.accepted = true
			if w.chance(0.2) {
				// Now and then it is sent again after it was accepted.
				again()
			}
		default:
			c.unknownSubmits++
			again()
		}
	})
}

func (c *simClient) cancel() {
	w := c.world
	c.cancelRequested = true
	o := w.pickOwner()
	if o == nil {
		w.after(200*time.Millisecond, c.cancel)
		return
	}
	c.call(o, true, func(reply wire.JobReply) {
		if reply.Outcome == wire.JobOutcomeAccepted {
			w.logf("client: %s cancelled by %s", c.id, o.name)
			c.cancelled = true
			return
		}
		if !c.cancelled && !(reply.Outcome == wire.JobOutcomeNoSuchJob && !c.accepted) {
			w.after(200*time.Millisecond, c.cancel)
		}
	})
}

func (c *simClient) call(o *simOwner, cancel bool, done func(wire.JobReply)) {
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
			if cancel {
				o.cell.Cancel(o.now(), wire.JobArgs{Queue: c.queue, Id: c.id, Customer: c.customer()}, o.lastCallID)
				return
			}
			spec := c.spec
			o.cell.Submit(o.now(), wire.JobArgs{Queue: c.queue, Id: c.id, Customer: c.customer(), Spec: &spec, ReceivedMs: int(w.now.UnixMilli())}, o.lastCallID)
		})
	})
}

// watchState asks for the job's state from time to time.
func (c *simClient) watchState() {
	defer c.world.after(c.world.randomDuration(50*time.Millisecond, 300*time.Millisecond), c.watchState)
	c.checkState()
}

// checkState asks for the job's state.
func (c *simClient) checkState() {
	w := c.world
	o := w.pickOwner()
	if o == nil || w.now.Before(o.pausedUntil) {
		return
	}
	state, known := o.cell.Show(wire.JobArgs{Queue: c.queue, Id: c.id, Customer: c.customer()})
	newest := o == w.owners[len(w.owners)-1]
	if !known {
		if newest && c.accepted {
			w.rules.fail("LOST: %s was accepted and %s doesn't know it", c.id, o.name)
		}
		return
	}
	w.rules.checkShown(o, c, state)
	c.state = state
}

// columnsBeforeRuns is how many columns of a task's row stand before those of its attempts.
const columnsBeforeRuns = 6

// editJobRecords takes something out of jobs' records.
func editJobRecords(records []damsonwinch.Record, drop func(*wire.JobRecord)) []damsonwinch.Record {
	var kept []damsonwinch.Record
	for _, record := range records {
		var job wire.JobRecord
		if strings.Contains(record.Key, "/") || len(record.Value) == 0 || json.Unmarshal(record.Value, &job) != nil {
			kept = append(kept, record)
			continue
		}
		drop(&job)
		text, err := json.Marshal(job)
		if err == nil {
			record.Value = text
		}
		kept = append(kept, record)
	}
	return kept
}

// unfinished tells whether the client's job was accepted, comes to an end by itself and
// hasn't yet.
func (c *simClient) unfinished() bool {
	if !c.accepted || c.cancelRequested || c.spec.Phases[0].Lasting {
		return false
	}
	return c.state != wire.JobStateCompleted && c.state != wire.JobStateFailed
}
