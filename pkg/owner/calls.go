package owner

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

var _ damsonwinch.JobService = (*Owner)(nil)

// Submit implements damsonwinch.JobService. It waits until the job is stored or refused.
func (o *Owner) Submit(ctx context.Context, args wire.JobArgs) wire.JobReply {
	reply := make(chan wire.JobReply, 1)
	return o.call(ctx, jobChange{args: args, receivedAt: o.deps.Clock.Now(), reply: reply}, reply)
}

// Cancel implements damsonwinch.JobService. It waits until the end of the job is stored.
func (o *Owner) Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply {
	reply := make(chan wire.JobReply, 1)
	return o.call(ctx, jobChange{args: args, receivedAt: o.deps.Clock.Now(), cancel: true, reply: reply}, reply)
}

// Show implements damsonwinch.JobService. Without a job's ID in args it does the same as Pending.
func (o *Owner) Show(ctx context.Context, args wire.JobArgs) wire.JobReply {
	reply := make(chan wire.JobReply, 1)
	return o.call(ctx, jobQuery{args: args, reply: reply}, reply)
}

// Pending implements damsonwinch.JobService. It counts only jobs of this cell.
func (o *Owner) Pending(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return o.Show(ctx, args)
}

// Sync applies the directives and allowances that the fleet planner sends for the cell, and returns a
// report on the cell. The reply's Known is false if the cell has not been taken over yet, if ctx ends
// first, if the owner has stopped, or if a newer planner has called.
func (o *Owner) Sync(ctx context.Context, args wire.SyncArgs) wire.SyncReply {
	select {
	case <-o.ready:
	default:
		return wire.SyncReply{}
	}
	reply := make(chan wire.SyncReply, 1)
	select {
	case o.inbox <- syncCall{args: args, reply: reply}:
	case <-ctx.Done():
		return wire.SyncReply{}
	case <-o.done:
		return wire.SyncReply{}
	}
	select {
	case got := <-reply:
		return got
	case <-ctx.Done():
	case <-o.done:
	}
	return wire.SyncReply{}
}

// call sends a message to the owner's goroutine and waits for the reply. If the message could not be put
// into the inbox, the call has had no effect and is refused. If the message was put there but no reply
// came, the outcome of the call is unknown.
func (o *Owner) call(ctx context.Context, m message, reply <-chan wire.JobReply) wire.JobReply {
	select {
	case <-o.ready:
	case <-ctx.Done():
		return refusedReply("the cell is being taken over")
	case <-o.done:
		return refusedReply("the cell is changing its owner")
	}
	select {
	case o.inbox <- m:
	case <-ctx.Done():
		return refusedReply("the owner of the cell is busy")
	case <-o.done:
		return refusedReply("the cell is changing its owner")
	}
	select {
	case got := <-reply:
		return got
	case <-ctx.Done():
		return wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "the owner of the cell has not answered in time"}
	case <-o.done:
		select {
		case got := <-reply:
			return got
		default:
			return wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "the owner of the cell has ended"}
		}
	}
}

// refusalRetryMs is the time after which a refused client should retry, in milliseconds: a takeover
// takes about as long.
const refusalRetryMs = 500

// refusedReply returns the refusal of a call that the client should retry after refusalRetryMs.
func refusedReply(reason string) wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: refusalRetryMs}
}

// Configure puts a configuration in force in the cell, of which queues is the table of the queues. rejectsOverload says
// whether the cell's endpoints reject tasks that exceed their free capacity.
func (o *Owner) Configure(configuration damsonwinch.Configuration, queues *cell.QueueTable, rejectsOverload bool) {
	o.send(configured{configuration: configuration, queues: queues, rejectsOverload: rejectsOverload})
}

// ConfirmOwnership tells the owner that its claim was in force at the given time.
func (o *Owner) ConfirmOwnership(at time.Time) {
	o.send(ownershipConfirmed{at: at})
}

// SetEvacuations tells the owner in which availability zones the operator wants no task to start, and the
// time at which no others were evacuated.
func (o *Owner) SetEvacuations(zones []string, at time.Time) {
	o.send(evacuationsConfirmed{zones: zones, at: at})
}

// SetEndpoints replaces the list of the cell's endpoints. endpoints holds all of them, as registered now.
func (o *Owner) SetEndpoints(endpoints []damsonwinch.Endpoint) {
	o.send(endpointsListed{endpoints: endpoints})
}
