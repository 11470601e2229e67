package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// maxUnsubmittedJobs is how many cancellations of unknown jobs a cell records at most. Each takes some 100 bytes in
// the stream and 500 in memory, until EndedJobRetention has passed.
const maxUnsubmittedJobs = 10_000

// pendingQuery is a call that is answered once the store has confirmed that this owner is the present one.
type pendingQuery struct {
	callID int
	// until is when the call is refused because the store has not confirmed it.
	until time.Time
	// answer returns the reply by what is recorded when the store has confirmed it.
	answer func() wire.JobReply
}

// replyOnceCurrent answers a call once an append that begins after this event is in the stream: the store accepts
// appends of the present owner only, which knows all accepted jobs. The client waits for waitMs milliseconds from now, or
// doesn't say how long it waits if waitMs is 0.
func (c *Cell) replyOnceCurrent(callID, waitMs int, answer func() wire.JobReply) {
	c.commits.queries = append(c.commits.queries, pendingQuery{callID: callID, until: refusalTime(c.now, waitMs), answer: answer})
}

// refuseOldQueries refuses the calls that wait for a store that is down, once their clients stop waiting. Otherwise they
// would be kept until the store is back.
func (c *Cell) refuseOldQueries() {
	refuse := func(query pendingQuery) bool {
		if c.now.Before(query.until) {
			return false
		}
		c.reply(query.callID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the store has not answered", RetryAfterMs: int(retryAfter.Milliseconds())})
		return true
	}
	c.commits.queries = slices.DeleteFunc(c.commits.queries, refuse)
	if sent := c.commits.inFlight; sent != nil {
		sent.queries = slices.DeleteFunc(sent.queries, refuse)
	}
}

// stateReply returns the reply to a call that asks for the state of a job.
func (c *Cell) stateReply(args wire.JobArgs) wire.JobReply {
	if state, found := c.Show(args); found {
		return wire.JobReply{Outcome: wire.JobOutcomeFound, State: state}
	}
	return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
}

// denyCancel replies to a cancellation that there is no such job for the client, once that is confirmed.
func (c *Cell) denyCancel(args wire.JobArgs, callID int) {
	c.noteAbsent("cancel", args)
	c.replyOnceCurrent(callID, args.WaitMs, func() wire.JobReply {
		if _, found := c.Show(args); found {
			return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the job was submitted meanwhile", RetryAfterMs: int(retryAfter.Milliseconds())}
		}
		return wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
	})
}

// cancelUnsubmitted cancels a job that this cell doesn't have, and replies that there is no such job once the
// cancellation is recorded. The record shows that this owner is the present one, which knows all accepted jobs, and it
// makes this owner and later ones refuse a submission that the client has sent before and that arrives after the
// cancellation: it may have waited for seconds in the connections of a node that was stopped.
func (c *Cell) cancelUnsubmitted(args wire.JobArgs, callID int) {
	c.noteAbsent("cancel", args)
	if c.unsubmittedJobs >= maxUnsubmittedJobs {
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "too many jobs were cancelled before they were submitted", RetryAfterMs: int(retryAfter.Milliseconds())})
		return
	}
	j := &job{id: args.Id, queue: args.Queue, customer: args.Customer, state: wire.JobStateCancelled, endedMs: int(c.now.UnixMilli()), unsubmitted: true}
	c.addJob(j)
	c.unsubmittedJobs++
	c.markDirty(j)
	c.replyOnceRecorded(j, callID, wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob})
}

// refuseCancelled refuses the submission of a job that its client has cancelled before. The job may be submitted again
// once the cancellation is forgotten.
func (c *Cell) refuseCancelled(j *job, callID int) {
	const reason = "its client has cancelled it before this submission arrived"
	c.stats.LateSubmissions++
	c.logJob("job refused", j, reason)
	forgottenAt := time.UnixMilli(int64(j.endedMs)).Add(c.options.EndedJobRetention)
	c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: max(1, int(forgottenAt.Sub(c.now).Milliseconds()))})
}

// noteAbsent counts and logs that a call asks for a job that this cell doesn't have, or doesn't show to the
// client. The line says how old the last confirmation of this owner's claim is: a job that a newer owner has
// accepted is missing here, too. A lookup in another pool than the queue's writes no line: it asks all pools, and the
// calling node writes one line for them.
func (c *Cell) noteAbsent(call string, args wire.JobArgs) {
	c.stats.JobsAbsent++
	if called, _ := shard.ParseCellName(args.Cell); args.Pool != "" && args.Pool != called {
		return
	}
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "no such job", Queue: args.Queue, Job: args.Id,
		Reason: fmt.Sprintf("%s by configuration %d; token %d, last confirmed %d ms ago", call, args.ConfigVersion, c.token, c.now.Sub(c.confirmedAt).Milliseconds()),
	})
}
