package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/send"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// statusClientClosedRequest is what a caller that has gone would be told.
const statusClientClosedRequest = 499

// maxAttempts bounds the boxes and senders that one request tries.
const maxAttempts = 4

// Request is a caller's request, whole in memory.
type Request struct {
	ID            string
	Service       string
	Customer      string
	ClientAddress string
	Class         wire.Class
	Deadline      time.Time
	// Size is the number of slots it needs on one box.
	Size int
	Body []byte
	// Forwarded says that another entry has sent it on.
	Forwarded bool
}

// Response is what the caller is told.
type Response struct {
	Outcome     wire.Outcome
	Status      int
	Reason      string
	ContentType string
	Body        []byte
	Box         string
	RetryAfter  time.Duration
}

// execution is one request's way through its attempts.
type execution struct {
	entry   *Entry
	request Request
	tried   map[string]bool
	// maybeSent says that bytes of the request may have reached an endpoint.
	maybeSent bool
	// sendCount counts the attempts that did.
	sendCount int
	// lastFailure is what the lastFailure endpoint said, when it was a failure.
	lastFailure *Response
}

// RunRequest takes a request to an endpoint and returns its outcome. It returns by the
// request's deadline.
func (e *Entry) RunRequest(ctx context.Context, request Request) Response {
	limited, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	x := &execution{entry: e, request: request, tried: map[string]bool{}}
	outcome := x.withEarlierSends(x.run(limited))
	e.deps.Invariants.Check(invariant.NotRunButSent, outcome.Outcome != wire.OutcomeNotRun || !x.maybeSent,
		"request %s of service %s was sent and told not run", request.ID, request.Service)
	e.deps.Metrics.Add("outcome_"+string(outcome.Outcome), 1)
	return outcome
}

func (x *execution) run(ctx context.Context) Response {
	for range maxAttempts {
		granted := x.waitForGrant(ctx)
		if granted.refusal != nil {
			return x.refusedResponse(*granted.refusal)
		}
		outcome, final := x.attempt(ctx, granted)
		if final {
			return outcome
		}
		x.lastFailure = &outcome
	}
	return *x.lastFailure
}

// withEarlierSends keeps a later attempt's "not run" from hiding an earlier one that was
// sent: another sender's refusal says nothing of what this entry sent before.
func (x *execution) withEarlierSends(outcome Response) Response {
	if !x.maybeSent || outcome.Outcome != wire.OutcomeNotRun {
		return outcome
	}
	outcome.Outcome, outcome.Status = wire.OutcomeUnknown, http.StatusBadGateway
	return outcome
}

// waitForGrant waits for a grant. It leaves the queue at once when the caller goes or
// the deadline comes.
func (x *execution) waitForGrant(ctx context.Context) grant {
	reply := make(chan grant, 1)
	message := acquireMessage{item: x.queueItem(), forwarded: x.request.Forwarded, tried: x.tried, reply: reply}
	if !x.entry.post(message) {
		return grant{refusal: newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "this entry has stopped")}
	}
	select {
	case granted := <-reply:
		return granted
	case <-ctx.Done():
	case <-x.entry.ctx.Done():
	}
	x.entry.post(cancelMessage{id: x.request.ID})
	select {
	case granted := <-reply:
		return granted
	case <-x.entry.ctx.Done():
		return grant{refusal: newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "this entry has stopped")}
	}
}

func (x *execution) queueItem() queue.Item {
	return queue.Item{
		ID: x.request.ID, Service: x.request.Service, Customer: x.request.Customer, Class: x.request.Class,
		EnqueuedAt: x.entry.now(), Deadline: x.request.Deadline, Size: max(1, x.request.Size),
	}
}

// attempt uses one grant. It returns the outcome and whether that is final.
func (x *execution) attempt(ctx context.Context, granted grant) (Response, bool) {
	if granted.box == "" {
		return x.forward(ctx, granted)
	}
	if ctx.Err() != nil || !x.entry.leaseValid() {
		x.finish(attemptReport{unused: true})
		return x.tooLateResponse(), ctx.Err() != nil
	}
	x.tried[granted.box] = true
	x.entry.deps.Invariants.Check(invariant.SentTwice, granted.row.Repeatable || x.sendCount == 0,
		"request %s of service %s is not repeatable and was sent before", x.request.ID, x.request.Service)
	begun := x.entry.now()
	result := x.send(ctx, granted)
	took := x.entry.now().Sub(begun)
	if result.Kind != send.NotSent {
		x.maybeSent = true
		x.sendCount++
	}
	return x.evaluate(ctx, granted, result, took)
}

// send makes one attempt within the service's time for a run.
func (x *execution) send(ctx context.Context, granted grant) send.Result {
	limited, cancel := context.WithTimeout(ctx, milliseconds(granted.row.RunMs))
	defer cancel()
	return x.entry.endpointClient.Do(limited, send.Attempt{
		ID: x.request.ID, Service: x.request.Service, Address: granted.address,
		Body: x.request.Body, MaxResponseBytes: granted.row.AnswerKb * bytesPerKilobyte,
	})
}

// evaluate decides whether a result is final or the request is tried again.
func (x *execution) evaluate(ctx context.Context, granted grant, result send.Result, took time.Duration) (Response, bool) {
	told := attemptReport{kind: result.Kind, took: took, failed: countsAgainstBox(ctx, granted, result, took), busy: isBusy(result)}
	outcome := responseOf(result, granted)
	again := told.failed || told.busy
	if again && result.Kind != send.NotSent {
		again = granted.row.Repeatable && x.takeRetry(ctx)
	}
	told.last = !again
	x.finish(told)
	return outcome, !again
}

// countsAgainstBox says whether a result speaks against its box. A caller that goes away
// doesn't, nor does a deadline that left little time.
func countsAgainstBox(ctx context.Context, granted grant, result send.Result, took time.Duration) bool {
	const enough = 2
	if ctx.Err() != nil && result.Kind != send.Answered {
		return errors.Is(ctx.Err(), context.DeadlineExceeded) && enough*took >= milliseconds(granted.row.RunMs)
	}
	return result.Kind != send.Answered || (result.Status >= http.StatusInternalServerError && !isBusy(result))
}

// isBusy says whether the endpoint had no room.
func isBusy(result send.Result) bool {
	return result.Kind == send.Answered &&
		slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, result.Status)
}

func responseOf(result send.Result, granted grant) Response {
	switch result.Kind {
	case send.Answered:
		return Response{Outcome: wire.OutcomeAnswered, Status: result.Status, ContentType: result.ContentType, Body: result.Body,
			Box: granted.box, RetryAfter: parseRetryAfter(result)}
	case send.NotSent:
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: result.Err.Error(), Box: granted.box,
			RetryAfter: unavailableRetryAfter}
	}
	return Response{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: result.Err.Error(), Box: granted.box}
}

func parseRetryAfter(result send.Result) time.Duration {
	seconds, err := strconv.Atoi(result.RetryAfter)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (x *execution) takeRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	reply := make(chan bool, 1)
	if !x.entry.post(retryMessage{service: x.request.Service, reply: reply}) {
		return false
	}
	select {
	case allowed := <-reply:
		return allowed
	case <-x.entry.ctx.Done():
		return false
	}
}

func (x *execution) finish(told attemptReport) {
	x.entry.post(finishMessage{id: x.request.ID, report: told})
}

// forward hands the request to the entry that sends to its pool's boxes.
func (x *execution) forward(ctx context.Context, granted grant) (Response, bool) {
	x.tried[granted.forwardTo.String()] = true
	left := x.request.Deadline.Sub(x.entry.now())
	args := wire.ForwardArgs{
		Id: x.request.ID, Service: x.request.Service, Class: x.request.Class, Team: x.request.Customer, Caller: x.request.ClientAddress,
		BudgetMs: int(left.Milliseconds()), Size: x.request.Size, Body: string(x.request.Body),
	}
	var reply wire.ForwardReply
	err := x.entry.callPeer(ctx, granted.address, args, &reply)
	x.entry.post(forwardedMessage{peer: granted.forwardTo, pool: granted.row.Pool, busy: reply.Free == 0, unanswered: err != nil})
	if err == nil && reply.Id != x.request.ID {
		x.entry.deps.Invariants.Check(invariant.WrongAnswer, false, "%s answered %q to request %s", granted.address, reply.Id, x.request.ID)
		err = &call.Error{Method: ServiceName + ".Forward", Peer: granted.address, MayHaveExecuted: true, Err: send.ErrWrongRequestID}
	}
	if err != nil {
		return x.forwardFailed(ctx, granted, err)
	}
	outcome := Response{
		Outcome: reply.Outcome, Status: reply.Status, Reason: reply.Reason, ContentType: reply.ContentType,
		Body: []byte(reply.Body), Box: reply.Box, RetryAfter: milliseconds(reply.RetryAfterMs),
	}
	if outcome.Outcome != wire.OutcomeNotRun {
		x.maybeSent = true
		return outcome, true
	}
	return outcome, !mayPassElsewhere(outcome.Status)
}

// mayPassElsewhere says whether another sender may take what this one refused.
func mayPassElsewhere(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (x *execution) forwardFailed(ctx context.Context, granted grant, err error) (Response, bool) {
	if !call.MayHaveExecuted(err) {
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: unavailableRetryAfter}, ctx.Err() != nil
	}
	x.maybeSent = true
	x.sendCount++
	outcome := Response{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: err.Error()}
	return outcome, !granted.row.Repeatable || !x.takeRetry(ctx)
}

func (e *Entry) callPeer(ctx context.Context, address string, args wire.ForwardArgs, reply *wire.ForwardReply) error {
	client := make(chan *call.Client, 1)
	if !e.post(peerClientMessage{address: address, reply: client}) {
		return &call.Error{Method: "Entry.Forward", Peer: address, Err: context.Canceled}
	}
	select {
	case peer := <-client:
		return peer.Do(ctx, ServiceName+".Forward", args, reply)
	case <-e.ctx.Done():
		return &call.Error{Method: "Entry.Forward", Peer: address, Err: context.Canceled}
	}
}

// refusedResponse words the outcome of a request that gets no grant.
func (x *execution) refusedResponse(why refusal) Response {
	if x.lastFailure != nil && (x.maybeSent || x.lastFailure.Outcome == wire.OutcomeAnswered) {
		return *x.lastFailure
	}
	return Response{Outcome: wire.OutcomeNotRun, Status: why.status, Reason: why.reason, RetryAfter: why.retryAfter}
}

// tooLateResponse is the outcome of a grant that came too late to be used.
func (x *execution) tooLateResponse() Response {
	return x.refusedResponse(refusal{status: http.StatusServiceUnavailable, reason: "the right to send or the deadline ran out first", retryAfter: unavailableRetryAfter})
}

// currentRow returns the row of a service in force.
func (e *Entry) currentRow(service string) (settings.Row, bool) {
	return e.currentState.Load().Table().Row(service)
}
