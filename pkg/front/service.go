package front

import (
	"context"
	"net/http"

	"damsonwinch/pkg/wire"
)

// service is the receiver of calls from other entries.
type service struct {
	entry *Entry
}

// Forward runs a request that came to another entry.
func (s *service) Forward(args wire.ForwardArgs, reply *wire.ForwardReply) error {
	e := s.entry
	release, refused := e.reserveMemory(len(args.Body))
	if refused != nil {
		*reply = wire.ForwardReply{Id: args.Id, Outcome: wire.OutcomeNotRun, Status: refused.status, Reason: refused.reason}
		return nil
	}
	defer release()
	// The sending entry waits no longer than its budget; net/rpc can't tell us
	// when it stops waiting.
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	outcome := e.RunRequest(ctx, Request{
		ID: args.Id, Service: args.Service, Customer: args.Team, ClientAddress: args.Caller, Class: args.Class,
		Deadline: e.now().Add(milliseconds(args.BudgetMs)), Size: args.Size, Body: []byte(args.Body), Forwarded: true,
	})
	*reply = wire.ForwardReply{
		Id: args.Id, Outcome: outcome.Outcome, Status: outcome.Status, Reason: outcome.Reason, ContentType: outcome.ContentType,
		Box: outcome.Box, RetryAfterMs: int(outcome.RetryAfter.Milliseconds()), Body: string(outcome.Body),
		Free: e.freeSlots(args.Service),
	}
	return nil
}

// freeSlots returns the free slots in a service's pool here.
func (e *Entry) freeSlots(service string) int {
	reply := make(chan int, 1)
	if !e.post(freeSlotsMessage{service: service, reply: reply}) {
		return 0
	}
	select {
	case free := <-reply:
		return free
	case <-e.ctx.Done():
		return 0
	}
}

// reserveMemory takes memory for a request and its answer, within the entry's bound.
func (e *Entry) reserveMemory(bytes int) (func(), *refusal) {
	size := int64(bytes)
	if e.heldBytes.Add(size) > int64(e.deps.Settings.QueueKb)*bytesPerKilobyte {
		e.heldBytes.Add(-size)
		e.deps.Metrics.Add("refused_memory", 1)
		return nil, newRefusal(http.StatusTooManyRequests, minRetryAfter, "this entry holds all the bytes of requests that it may")
	}
	return func() { e.heldBytes.Add(-size) }, nil
}
