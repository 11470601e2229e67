package cell

import (
	"fmt"
	"slices"
	"time"

	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// Submit takes a job from a client. The reply with the given call ID becomes an effect once the job
// is in the stream, or as soon as the job is found invalid or refused.
func (c *Cell) Submit(now time.Time, args wire.JobArgs, callID int) {
	c.beginEvent(now)
	defer c.finishEvent()
	existing, exists := c.jobs[args.Id]
	if exists && !existing.unsubmitted {
		c.submitAgain(existing, args, callID)
		return
	}
	if err := jobs.Check(*args.Spec); err != nil {
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeInvalid, Reason: err.Error()})
		return
	}
	if exists {
		c.refuseCancelled(existing, callID)
		return
	}
	if !c.checkAddress(args, callID) {
		return
	}
	j := c.newJob(args)
	if err := c.checkRecords(j); err != nil {
		c.logJob("job refused", j, err.Error())
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeInvalid, Reason: err.Error()})
		return
	}
	j.extendClientWait(now, args.WaitMs)
	c.classify(j)
	c.countArrival(j)
	if !c.admit(j, callID) {
		return
	}
	c.chargeShare(j)
	c.addJob(j)
	c.activeJobs = append(c.activeJobs, j)
	c.stats.JobsAccepted++
	c.markDirty(j)
	c.logJob("job accepted", j, fmt.Sprintf("queue %s by configuration %d, received %d ms ago, %d phases, %d ms of work in a row expected, to be done within %d ms",
		j.queue, args.ConfigVersion, int(now.UnixMilli())-args.ReceivedMs, len(j.spec.Phases), slices.Max(j.criticalPathMs), j.deadlineMs-j.acceptedMs))
	c.startDueRounds()
	c.replyOnceRecorded(j, callID, wire.JobReply{Outcome: wire.JobOutcomeAccepted})
}

// submitAgain handles the submission of a job that the cell has: the client has not received the reply to an earlier
// call, or another customer has taken the ID.
func (c *Cell) submitAgain(j *job, args wire.JobArgs, callID int) {
	if !j.visibleTo(args) {
		c.logJob("job refused", j, "another customer has a job of this ID")
		c.reply(callID, takenReply())
		return
	}
	j.extendClientWait(c.now, args.WaitMs)
	c.replyOnceRecorded(j, callID, wire.JobReply{Outcome: wire.JobOutcomeAccepted})
}

// takenReply returns the refusal of a job whose ID another customer has taken. It doesn't reveal that.
func takenReply() wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "not taken", RetryAfterMs: int(retryAfter.Milliseconds())}
}

// countArrival counts a job in the statistics of its queue. A refused job counts once, at its first
// submission: if it did not count, the planner would give no boxes for what a full cell refuses.
func (c *Cell) countArrival(j *job) {
	if jobs.IsLongRunning(j.spec) || c.refusals.Has(j.id) {
		return
	}
	criticalPathMs := slices.Max(j.criticalPathMs)
	c.workload.Of(j.queue).AddJob(c.now, j.work, j.deadlineMs-j.acceptedMs-criticalPathMs, criticalPathMs)
}

// newJob returns the job that a client has submitted. It has no rounds yet.
func (c *Cell) newJob(args wire.JobArgs) *job {
	j := &job{
		id: args.Id, queue: args.Queue, address: args.Address, customer: args.Customer, spec: *args.Spec, acceptedMs: args.ReceivedMs,
		state: wire.JobStateQueued, recordedState: wire.JobStateQueued,
	}
	j.totalTasks = jobs.TotalTasks(j.spec)
	c.setDeadline(j, c.setAcceptedQueue(j, args))
	return j
}

// maxAttempts returns the number of failed attempts at one task with which the job fails.
func (j *job) maxAttempts() int {
	return max(1, j.terms.maxAttempts)
}

// visibleTo reports whether the client of a call may see and cancel the job. That is so if the
// client has the key of the job's customer, the job was submitted without a key, or the queue is
// public. For all other clients the job does not exist.
func (j *job) visibleTo(args wire.JobArgs) bool {
	return args.Public || j.customer == "" || j.customer == args.Customer
}

// Cancel ends a job at a client's request. The reply with the given call ID becomes an effect once
// the end is in the stream. That a job does not exist is recorded, too, unless the call is tentative: see
// cancelUnsubmitted.
func (c *Cell) Cancel(now time.Time, args wire.JobArgs, callID int) {
	c.beginEvent(now)
	defer c.finishEvent()
	j, exists := c.jobs[args.Id]
	switch {
	case args.Tentative && (!exists || j.unsubmitted || !j.visibleTo(args)):
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob})
		return
	case !exists:
		c.cancelUnsubmitted(args, callID)
		return
	case j.unsubmitted || !j.visibleTo(args):
		c.denyCancel(args, callID)
		return
	}
	if !j.ended() {
		c.stats.JobsCancelled++
		c.endJob(j, wire.JobStateCancelled, "a client cancelled it")
	}
	c.replyOnceRecorded(j, callID, wire.JobReply{Outcome: wire.JobOutcomeAccepted})
}

// endJob sets the final state of a job and stops its remaining runs.
func (c *Cell) endJob(j *job, state wire.JobState, reason string) {
	j.state = state
	j.endedMs = int(c.now.UnixMilli())
	c.withdrawCharge(j)
	for _, r := range j.rounds {
		for _, p := range r.phases {
			c.closePhase(p)
			for _, t := range p.tasks {
				for _, attempt := range slices.Clone(t.runs) {
					c.stop(attempt, "its job has ended")
				}
			}
		}
	}
	c.logJob("job "+string(state), j, reason)
	c.markDirty(j)
}

// forgetEndedJobs drops ended jobs without runs from the active jobs, and deletes them from the
// cell and its stream after EndedJobRetention.
func (c *Cell) forgetEndedJobs() {
	keep := c.activeJobs[:0]
	for _, j := range c.activeJobs {
		if !j.ended() || j.runCount > 0 || j.recordedState != j.state {
			keep = append(keep, j)
		}
	}
	clear(c.activeJobs[len(keep):])
	c.activeJobs = keep
	limit := int(c.now.Add(-c.options.EndedJobRetention).UnixMilli())
	for _, j := range c.jobs {
		if j.ended() && j.runCount == 0 && j.recordedState == j.state && j.endedMs < limit {
			c.removeJob(j)
			c.deleteRecord(j)
			if j.unsubmitted {
				c.unsubmittedJobs--
			}
		}
	}
}
