package cell

import (
	"fmt"
	"slices"
	"time"

	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// Submit takes a job. The reply comes as an effect with the ticket, once the
// stream holds the job.
func (c *Cell) Submit(now time.Time, args wire.JobArgs, ticket int) {
	c.beginEvent(now)
	defer c.finishEvent()
	if known, exists := c.jobs[args.Id]; exists {
		if !known.visibleTo(args) {
			c.logJob("job refused", known, "another customer has a job of this ID")
			c.reply(ticket, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "not taken", RetryAfterMs: int(retryAfter.Milliseconds())})
			return
		}
		// The client didn't hear the answer to an earlier call.
		known.extendClientWait(now, args.WaitMs)
		c.replyOnceRecorded(known, ticket, wire.JobReply{Outcome: wire.JobOutcomeAccepted})
		return
	}
	if err := jobs.Check(*args.Spec); err != nil {
		c.reply(ticket, wire.JobReply{Outcome: wire.JobOutcomeInvalid, Reason: err.Error()})
		return
	}
	j := c.newJob(args)
	j.extendClientWait(now, args.WaitMs)
	c.jobs[j.id] = j
	c.activeJobs = append(c.activeJobs, j)
	c.stats.JobsAccepted++
	if !jobs.IsLongRunning(j.spec) {
		chain := slices.Max(j.criticalPathMs)
		c.statsOf(j.queue).addJob(now, j.work, j.dueMs-j.acceptedMs-chain, chain)
	}
	c.markDirty(j)
	c.logJob("job accepted", j, fmt.Sprintf("queue %s by configuration %d, %d phases, %d ms of work in a row expected, to be done within %d ms",
		j.queue, args.ConfigVersion, len(j.spec.Phases), slices.Max(j.criticalPathMs), j.dueMs-j.acceptedMs))
	c.startDueRounds()
	c.replyOnceRecorded(j, ticket, wire.JobReply{Outcome: wire.JobOutcomeAccepted})
}

func (c *Cell) newJob(args wire.JobArgs) *job {
	j := &job{
		id: args.Id, queue: args.Queue, customer: args.Customer, spec: *args.Spec, acceptedMs: args.ReceivedMs,
		state: wire.JobStateQueued, recordedState: wire.JobStateQueued,
	}
	queue := c.queues[args.Queue]
	j.priority, j.maxAttempts = queue.Priority, queue.MaxAttempts
	c.setDue(j)
	return j
}

// maxAttempts returns how many failures of a task fail the job.
func (c *Cell) maxAttempts(j *job) int {
	if queue, known := c.queues[j.queue]; known && queue.MaxAttempts > 0 {
		return queue.MaxAttempts
	}
	return max(1, j.maxAttempts)
}

// visibleTo says whether a job may be shown to a caller, and changed by it: to its own customer,
// or to anybody if its queue asks for no key. One that was handed in without a key is everybody's.
// For all others it doesn't exist.
func (j *job) visibleTo(args wire.JobArgs) bool {
	return args.Public || j.customer == "" || j.customer == args.Customer
}

// Cancel ends a job for good. The reply comes as an effect, once the stream holds
// the end.
func (c *Cell) Cancel(now time.Time, args wire.JobArgs, ticket int) {
	c.beginEvent(now)
	defer c.finishEvent()
	j, known := c.jobs[args.Id]
	if !known || !j.visibleTo(args) {
		c.reply(ticket, wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob})
		return
	}
	if !j.ended() {
		c.stats.JobsCancelled++
		c.endJob(j, wire.JobStateCancelled, "a client cancelled it")
	}
	c.replyOnceRecorded(j, ticket, wire.JobReply{Outcome: wire.JobOutcomeAccepted})
}

// endJob decides a job's endJob and stops what still runs of it.
func (c *Cell) endJob(j *job, state wire.JobState, why string) {
	j.state = state
	j.endedMs = int(c.now.UnixMilli())
	for _, r := range j.rounds {
		for _, p := range r.phases {
			c.closePhase(p)
			for _, t := range p.tasks {
				for _, running := range slices.Clone(t.runs) {
					c.stop(running, "its job has ended")
				}
			}
		}
	}
	c.logJob("job "+string(state), j, why)
	c.markDirty(j)
}

// forgetEndedJobs drops ended jobs that nobody will ask for any more.
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
	for id, j := range c.jobs {
		if j.ended() && j.runCount == 0 && j.recordedState == j.state && j.endedMs < limit {
			delete(c.jobs, id)
			c.deleteRecord(j)
		}
	}
}
