package owner

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

var _ damsonwinch.JobService = (*Owner)(nil)

// Submit implements damsonwinch.Jobs.
func (o *Owner) Submit(ctx context.Context, args wire.JobArgs) wire.JobReply {
	reply := make(chan wire.JobReply, 1)
	return o.ask(ctx, clientCall{args: args, at: o.deps.Clock.Now(), reply: reply}, reply)
}

// Cancel implements damsonwinch.Jobs.
func (o *Owner) Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply {
	reply := make(chan wire.JobReply, 1)
	return o.ask(ctx, clientCall{args: args, at: o.deps.Clock.Now(), cancel: true, reply: reply}, reply)
}

// Show implements damsonwinch.Jobs.
func (o *Owner) Show(ctx context.Context, args wire.JobArgs) wire.JobReply {
	reply := make(chan wire.JobReply, 1)
	return o.ask(ctx, question{args: args, reply: reply}, reply)
}

// Pending implements damsonwinch.Jobs.
func (o *Owner) Pending(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return o.Show(ctx, args)
}

// Sync takes the fleet planner's wishes and tells how the cell is. A reply that is
// not known comes from an owner that can't tell.
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

// ask gives the owner a message and waits for the reply. A message that the owner
// hasn't taken has done nothing.
func (o *Owner) ask(ctx context.Context, m message, reply <-chan wire.JobReply) wire.JobReply {
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

// refusalRetryMs tells a client when to come back after a refusal: a takeover is
// done in about that time.
const refusalRetryMs = 500

func refusedReply(reason string) wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: refusalRetryMs}
}

// Configure tells the owner the configuration in force, and whether its endpoints refuse what
// doesn't fit.
func (o *Owner) Configure(configuration damsonwinch.Configuration, guarded bool) {
	o.send(configured{configuration: configuration, guarded: guarded})
}

// ConfirmOwnership tells the owner until when its claim stood for certain.
func (o *Owner) ConfirmOwnership(at time.Time) {
	o.send(confirmed{at: at})
}

// SetEndpoints tells the owner which endpoints the registry lists for its cell.
func (o *Owner) SetEndpoints(endpoints []damsonwinch.Endpoint) {
	o.send(endpointsListed{endpoints: endpoints})
}
