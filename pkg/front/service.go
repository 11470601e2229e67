package front

import (
	"context"
	"net/http"

	"damsonwinch/pkg/wire"
)

// service is the receiver of calls from other entries.
type service struct {
	front *Entry
}

// Forward runs a request that came to another entry.
func (s *service) Forward(args wire.ForwardArgs, reply *wire.ForwardReply) error {
	f := s.front
	release, refused := f.hold(len(args.Body))
	if refused != nil {
		*reply = wire.ForwardReply{Id: args.Id, Outcome: wire.OutcomeNotRun, Status: refused.status, Reason: refused.reason}
		return nil
	}
	defer release()
	// The sending entry waits no longer than its budget; net/rpc can't tell us
	// when it stops waiting.
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	outcome := f.Run(ctx, Request{
		ID: args.Id, Service: args.Service, Team: args.Team, Caller: args.Caller, Class: args.Class,
		Deadline: f.now().Add(milliseconds(args.BudgetMs)), Size: args.Size, Body: []byte(args.Body), Hop: true,
	})
	*reply = wire.ForwardReply{
		Id: args.Id, Outcome: outcome.Outcome, Status: outcome.Status, Reason: outcome.Reason, ContentType: outcome.ContentType,
		Box: outcome.Box, RetryAfterMs: int(outcome.RetryAfter.Milliseconds()), Body: string(outcome.Body),
		Free: f.freeSlots(args.Service),
	}
	return nil
}

// freeSlots returns the free slots in a service's pool here.
func (f *Entry) freeSlots(service string) int {
	reply := make(chan int, 1)
	if !f.post(freeMessage{service: service, reply: reply}) {
		return 0
	}
	select {
	case free := <-reply:
		return free
	case <-f.ctx.Done():
		return 0
	}
}

// hold takes memory for a request and its answer, within the entry's bound.
func (f *Entry) hold(bytes int) (func(), *refusal) {
	size := int64(bytes)
	if f.held.Add(size) > int64(f.deps.Settings.QueueKb)*bytesAKilobyte {
		f.held.Add(-size)
		f.deps.Metrics.Add("refused_memory", 1)
		return nil, refuse(http.StatusTooManyRequests, leastRetryAfter, "this entry holds all the bytes of requests that it may")
	}
	return func() { f.held.Add(-size) }, nil
}
