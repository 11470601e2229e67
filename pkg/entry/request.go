package entry

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

// statusClientClosedRequest is the HTTP status of a request whose client has disconnected.
const statusClientClosedRequest = 499

// maxAttempts bounds the boxes and other entries that one request tries.
const maxAttempts = 4

// Request is a client's request with its whole body.
type Request struct {
	ID            string
	Service       string
	Customer      string
	ClientAddress string
	Class         wire.Class
	Deadline      time.Time
	// Size is the number of slots that the request needs on one box.
	Size int
	Body []byte
	// Forwarded says that another entry has forwarded the request to this one.
	Forwarded bool
}

// Response is what the client gets for a request: an endpoint's response, or a refusal with a reason.
type Response struct {
	// Outcome says whether an endpoint answered the request, or the request was not run or may have run.
	Outcome wire.Outcome
	// Status is an HTTP status.
	Status int
	// Reason says why there is no response of an endpoint. It is empty if there is one.
	Reason      string
	ContentType string
	Body        []byte
	// Box is the name of the box that was tried last, if that is known.
	Box        string
	RetryAfter time.Duration
}

// execution is the state of one request through its attempts. It belongs to the request's goroutine.
type execution struct {
	entry   *Entry
	request Request
	// tried holds the names of the boxes and the sender keys of the entries that were tried.
	tried map[string]bool
	// maybeSent says that bytes of the request may have reached an endpoint.
	maybeSent bool
	// sendCount is the number of attempts that may have reached an endpoint: attempts on this entry's
	// boxes, and calls to other entries that failed.
	sendCount int
	// lastFailure is the response of the last attempt that was not final.
	lastFailure *Response
}

// RunRequest runs a request on an endpoint, retrying as the service allows, and returns the response
// for the client. It returns by the request's deadline.
func (e *Entry) RunRequest(ctx context.Context, request Request) Response {
	limited, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	x := &execution{entry: e, request: request, tried: map[string]bool{}}
	response := x.accountForEarlierSends(x.run(limited))
	e.deps.Invariants.Check(invariant.NotRunButSent, response.Outcome != wire.OutcomeNotRun || !x.maybeSent,
		"request %s of service %s was sent, but is reported as not run", request.ID, request.Service)
	e.deps.Metrics.Add("outcome_"+string(response.Outcome), 1)
	return response
}

// run makes up to maxAttempts attempts, each on a box or through another entry.
func (x *execution) run(ctx context.Context) Response {
	for range maxAttempts {
		granted := x.waitForGrant(ctx)
		if granted.refusal != nil {
			return x.refusedResponse(*granted.refusal)
		}
		response, final := x.attempt(ctx, granted)
		if final {
			return response
		}
		x.lastFailure = &response
	}
	return *x.lastFailure
}

// accountForEarlierSends turns the outcome "not run" into "unknown" if an earlier attempt may have
// reached an endpoint: a refusal of the last attempt says nothing about the earlier ones.
func (x *execution) accountForEarlierSends(response Response) Response {
	if !x.maybeSent || response.Outcome != wire.OutcomeNotRun {
		return response
	}
	response.Outcome, response.Status = wire.OutcomeUnknown, http.StatusBadGateway
	return response
}

// waitForGrant asks the loop for a grant and waits for it. The request leaves the queue at once when
// its client disconnects or its deadline passes.
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

// attempt makes one attempt with a grant. It returns the response and whether that is final. The lease
// and the deadline are checked again here, because the process may have been suspended since the loop
// made the grant.
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
	start := x.entry.now()
	result := x.send(ctx, granted)
	took := x.entry.now().Sub(start)
	if result.Kind != send.NotSent {
		x.maybeSent = true
		x.sendCount++
	}
	return x.evaluate(ctx, granted, result, took)
}

// send sends the request to the granted box and waits at most the service's longest run time.
func (x *execution) send(ctx context.Context, granted grant) send.Result {
	limited, cancel := context.WithTimeout(ctx, milliseconds(granted.row.RunMs))
	defer cancel()
	return x.entry.endpointClient.Do(limited, send.Attempt{
		ID: x.request.ID, Service: x.request.Service, Address: granted.address,
		Body: x.request.Body, MaxResponseBytes: granted.row.AnswerKb * bytesPerKilobyte,
	})
}

// evaluate returns the response for a result and whether it is final, and reports the attempt to the
// loop. A request that failed or found the box busy is tried again if it was not sent, or if its
// service allows repeated runs and has a retry left.
func (x *execution) evaluate(ctx context.Context, granted grant, result send.Result, took time.Duration) (Response, bool) {
	report := attemptReport{kind: result.Kind, took: took, failed: countsAgainstBox(ctx, granted, result, took), busy: isBusy(result)}
	response := responseOf(result, granted)
	retry := report.failed || report.busy
	if retry && result.Kind != send.NotSent {
		retry = granted.row.Repeatable && x.takeRetry(ctx)
	}
	report.last = !retry
	x.finish(report)
	return response, !retry
}

// countsAgainstBox reports whether a result counts as a failure of the box. If the client disconnects
// before the response, it doesn't. If the deadline passes, it counts only if the attempt had at least
// half of the service's longest run time.
func countsAgainstBox(ctx context.Context, granted grant, result send.Result, took time.Duration) bool {
	const runTimeDivisor = 2
	if ctx.Err() != nil && result.Kind != send.Answered {
		return errors.Is(ctx.Err(), context.DeadlineExceeded) && runTimeDivisor*took >= milliseconds(granted.row.RunMs)
	}
	return result.Kind != send.Answered || (result.Status >= http.StatusInternalServerError && !isBusy(result))
}

// isBusy reports whether the endpoint answered that it has no free capacity.
func isBusy(result send.Result) bool {
	return result.Kind == send.Answered &&
		slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, result.Status)
}

// responseOf returns the response for the client after an attempt with the given result.
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

// parseRetryAfter returns the endpoint's Retry-After, or 0 if it is not a number of seconds.
func parseRetryAfter(result send.Result) time.Duration {
	seconds, err := strconv.Atoi(result.RetryAfter)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// takeRetry takes a retry from the service's retry budget and reports whether there was one.
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

// finish returns the grant's slots and reports the attempt to the loop.
func (x *execution) finish(report attemptReport) {
	x.entry.post(finishMessage{id: x.request.ID, report: report})
}

// forward forwards the request to the entry that the grant names and waits for its reply. It returns
// the response and whether that is final.
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
	response := Response{
		Outcome: reply.Outcome, Status: reply.Status, Reason: reply.Reason, ContentType: reply.ContentType,
		Body: []byte(reply.Body), Box: reply.Box, RetryAfter: milliseconds(reply.RetryAfterMs),
	}
	if response.Outcome != wire.OutcomeNotRun {
		x.maybeSent = true
		return response, true
	}
	return response, !mayBeAcceptedElsewhere(response.Status)
}

// mayBeAcceptedElsewhere reports whether another entry may accept a request that one refused with the
// given HTTP status.
func mayBeAcceptedElsewhere(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// forwardFailed returns the response after a failed call to another entry and whether it is final.
func (x *execution) forwardFailed(ctx context.Context, granted grant, err error) (Response, bool) {
	if !call.MayHaveExecuted(err) {
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: unavailableRetryAfter}, ctx.Err() != nil
	}
	x.maybeSent = true
	x.sendCount++
	response := Response{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: err.Error()}
	return response, !granted.row.Repeatable || !x.takeRetry(ctx)
}

// callPeer calls Forward of the entry at the given address.
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

// refusedResponse returns the response for a request that gets no further grant: that of the last attempt
// if it was answered or if any attempt may have reached an endpoint, else the refusal.
func (x *execution) refusedResponse(why refusal) Response {
	if x.lastFailure != nil && (x.maybeSent || x.lastFailure.Outcome == wire.OutcomeAnswered) {
		return *x.lastFailure
	}
	return Response{Outcome: wire.OutcomeNotRun, Status: why.status, Reason: why.reason, RetryAfter: why.retryAfter}
}

// tooLateResponse returns the response for a request whose grant came too late to be used.
func (x *execution) tooLateResponse() Response {
	return x.refusedResponse(refusal{status: http.StatusServiceUnavailable, reason: "this entry's lease or the request's deadline ended before the request was sent", retryAfter: unavailableRetryAfter})
}

// currentRow returns a service's row of the newest table, and whether it has one.
func (e *Entry) currentRow(service string) (settings.Row, bool) {
	return e.currentState.Load().Table().Row(service)
}
