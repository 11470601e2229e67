package entry

import (
	"context"
	"net/http"

	"damsonwinch/pkg/wire"
)

// service serves the RPC calls of other entries.
type service struct {
	entry *Entry
}

// Forward runs a request that another entry has forwarded. It replies with the outcome and with the
// number of free slots that are left in the service's pool.
func (s *service) Forward(args wire.ForwardArgs, reply *wire.ForwardReply) error {
	e := s.entry
	release, refused := e.reserveMemory(len(args.Body))
	if refused != nil {
		*reply = wire.ForwardReply{Id: args.Id, Outcome: wire.OutcomeNotRun, Status: refused.status, Reason: refused.reason}
		return nil
	}
	defer release()
	// net/rpc doesn't tell when the calling entry stops waiting for the reply. That entry waits at most
	// for args.BudgetMs, so the request gets this deadline here as well.
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	response := e.RunRequest(ctx, Request{
		ID: args.Id, Service: args.Service, Customer: args.Team, ClientAddress: args.Caller, Class: args.Class,
		Deadline: e.now().Add(milliseconds(args.BudgetMs)), Size: args.Size, Body: []byte(args.Body), Forwarded: true,
	})
	*reply = wire.ForwardReply{
		Id: args.Id, Outcome: response.Outcome, Status: response.Status, Reason: response.Reason, ContentType: response.ContentType,
		Box: response.Box, RetryAfterMs: int(response.RetryAfter.Milliseconds()), Body: string(response.Body),
		Free: e.freeSlots(args.Service),
	}
	return nil
}

// freeSlots returns the number of free slots on this entry's boxes of a service's pool.
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

// reserveMemory counts a request body of the given size against the entry's memory limit. It returns a
// function that releases the bytes, or a refusal if the limit would be exceeded.
func (e *Entry) reserveMemory(bytes int) (func(), *refusal) {
	size := int64(bytes)
	if e.heldBytes.Add(size) > int64(e.deps.Settings.QueueKb)*bytesPerKilobyte {
		e.heldBytes.Add(-size)
		e.deps.Metrics.Add("refused_memory", 1)
		return nil, newRefusal(http.StatusTooManyRequests, minRetryAfter, "the requests at this entry take all the memory that they may")
	}
	return func() { e.heldBytes.Add(-size) }, nil
}
