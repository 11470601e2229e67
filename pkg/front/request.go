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

// statusCallerGone is what a caller that has gone would be told.
const statusCallerGone = 499

// mostAttempts bounds the boxes and senders that one request tries.
const mostAttempts = 4

// Request is a caller's request, whole in memory.
type Request struct {
	ID       string
	Service  string
	Team     string
	Caller   string
	Class    wire.Class
	Deadline time.Time
	// Size is the number of slots it needs on one box.
	Size int
	Body []byte
	// Hop says that another entry has sent it on.
	Hop bool
}

// Outcome is what the caller is told.
type Outcome struct {
	Outcome     wire.Outcome
	Status      int
	Reason      string
	ContentType string
	Body        []byte
	Box         string
	RetryAfter  time.Duration
}

// trip is one request's way through its attempts.
type trip struct {
	front   *Entry
	request Request
	tried   map[string]bool
	// sent says that bytes of the request may have reached an endpoint.
	sent bool
	// sends counts the attempts that did.
	sends int
	// last is what the last endpoint said, when it was a failure.
	last *Outcome
}

// Run takes a request to an endpoint and returns its outcome. It returns by the
// request's deadline.
func (f *Entry) Run(ctx context.Context, request Request) Outcome {
	limited, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	t := &trip{front: f, request: request, tried: map[string]bool{}}
	outcome := t.honest(t.run(limited))
	f.deps.Invariants.Check(invariant.NotRunButSent, outcome.Outcome != wire.OutcomeNotRun || !t.sent,
		"request %s of service %s was sent and told not run", request.ID, request.Service)
	f.deps.Metrics.Add("outcome_"+string(outcome.Outcome), 1)
	return outcome
}

func (t *trip) run(ctx context.Context) Outcome {
	for range mostAttempts {
		granted := t.acquire(ctx)
		if granted.refusal != nil {
			return t.refused(*granted.refusal)
		}
		outcome, final := t.attempt(ctx, granted)
		if final {
			return outcome
		}
		t.last = &outcome
	}
	return *t.last
}

// honest keeps a later attempt's "not run" from hiding an earlier one that was
// sent: another sender's refusal says nothing of what this entry sent before.
func (t *trip) honest(outcome Outcome) Outcome {
	if !t.sent || outcome.Outcome != wire.OutcomeNotRun {
		return outcome
	}
	outcome.Outcome, outcome.Status = wire.OutcomeUnknown, http.StatusBadGateway
	return outcome
}

// acquire waits for a grant. It leaves the queue at once when the caller goes or
// the deadline comes.
func (t *trip) acquire(ctx context.Context) grant {
	reply := make(chan grant, 1)
	message := acquireMessage{item: t.item(), hop: t.request.Hop, tried: t.tried, reply: reply}
	if !t.front.post(message) {
		return grant{refusal: refuse(http.StatusServiceUnavailable, noSenderRetry, "this entry has stopped")}
	}
	select {
	case granted := <-reply:
		return granted
	case <-ctx.Done():
	case <-t.front.ctx.Done():
	}
	t.front.post(cancelMessage{id: t.request.ID})
	select {
	case granted := <-reply:
		return granted
	case <-t.front.ctx.Done():
		return grant{refusal: refuse(http.StatusServiceUnavailable, noSenderRetry, "this entry has stopped")}
	}
}

func (t *trip) item() queue.Item {
	return queue.Item{
		ID: t.request.ID, Service: t.request.Service, Customer: t.request.Team, Class: t.request.Class,
		EnqueuedAt: t.front.now(), Deadline: t.request.Deadline, Size: max(1, t.request.Size),
	}
}

// attempt uses one grant. It returns the outcome and whether that is final.
func (t *trip) attempt(ctx context.Context, granted grant) (Outcome, bool) {
	if granted.box == "" {
		return t.forward(ctx, granted)
	}
	if ctx.Err() != nil || !t.front.covered() {
		t.finish(report{unused: true})
		return t.outOfTime(), ctx.Err() != nil
	}
	t.tried[granted.box] = true
	t.front.deps.Invariants.Check(invariant.SentTwice, granted.row.Repeatable || t.sends == 0,
		"request %s of service %s is not repeatable and was sent before", t.request.ID, t.request.Service)
	begun := t.front.now()
	result := t.send(ctx, granted)
	took := t.front.now().Sub(begun)
	if result.Kind != send.NotSent {
		t.sent = true
		t.sends++
	}
	return t.judge(ctx, granted, result, took)
}

// send makes one attempt within the service's time for a run.
func (t *trip) send(ctx context.Context, granted grant) send.Result {
	limited, cancel := context.WithTimeout(ctx, milliseconds(granted.row.RunMs))
	defer cancel()
	return t.front.sender.Do(limited, send.Attempt{
		ID: t.request.ID, Service: t.request.Service, Address: granted.address,
		Body: t.request.Body, MostAnswer: granted.row.AnswerKb * bytesAKilobyte,
	})
}

// judge decides whether a result is final or the request is tried again.
func (t *trip) judge(ctx context.Context, granted grant, result send.Result, took time.Duration) (Outcome, bool) {
	told := report{kind: result.Kind, took: took, failed: failed(ctx, granted, result, took), refused: busy(result)}
	outcome := outcomeOf(result, granted)
	again := told.failed || told.refused
	if again && result.Kind != send.NotSent {
		again = granted.row.Repeatable && t.mayRetry(ctx)
	}
	told.last = !again
	t.finish(told)
	return outcome, !again
}

// failed says whether a result speaks against its box. A caller that goes away
// doesn't, nor does a deadline that left little time.
func failed(ctx context.Context, granted grant, result send.Result, took time.Duration) bool {
	const enough = 2
	if ctx.Err() != nil && result.Kind != send.Answered {
		return errors.Is(ctx.Err(), context.DeadlineExceeded) && enough*took >= milliseconds(granted.row.RunMs)
	}
	return result.Kind != send.Answered || (result.Status >= http.StatusInternalServerError && !busy(result))
}

// busy says whether the endpoint had no room.
func busy(result send.Result) bool {
	return result.Kind == send.Answered &&
		slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, result.Status)
}

func outcomeOf(result send.Result, granted grant) Outcome {
	switch result.Kind {
	case send.Answered:
		return Outcome{Outcome: wire.OutcomeAnswered, Status: result.Status, ContentType: result.ContentType, Body: result.Body,
			Box: granted.box, RetryAfter: retryAfterOf(result)}
	case send.NotSent:
		return Outcome{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: result.Err.Error(), Box: granted.box,
			RetryAfter: noSenderRetry}
	}
	return Outcome{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: result.Err.Error(), Box: granted.box}
}

func retryAfterOf(result send.Result) time.Duration {
	seconds, err := strconv.Atoi(result.RetryAfter)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (t *trip) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	reply := make(chan bool, 1)
	if !t.front.post(retryMessage{service: t.request.Service, reply: reply}) {
		return false
	}
	select {
	case allowed := <-reply:
		return allowed
	case <-t.front.ctx.Done():
		return false
	}
}

func (t *trip) finish(told report) {
	t.front.post(finishMessage{id: t.request.ID, report: told})
}

// forward hands the request to the entry that sends to its pool's boxes.
func (t *trip) forward(ctx context.Context, granted grant) (Outcome, bool) {
	t.tried[granted.forward.String()] = true
	left := t.request.Deadline.Sub(t.front.now())
	args := wire.ForwardArgs{
		Id: t.request.ID, Service: t.request.Service, Class: t.request.Class, Team: t.request.Team, Caller: t.request.Caller,
		BudgetMs: int(left.Milliseconds()), Size: t.request.Size, Body: string(t.request.Body),
	}
	var reply wire.ForwardReply
	err := t.front.callPeer(ctx, granted.address, args, &reply)
	t.front.post(forwardedMessage{peer: granted.forward, pool: granted.row.Pool, busy: reply.Free == 0, lost: err != nil})
	if err == nil && reply.Id != t.request.ID {
		t.front.deps.Invariants.Check(invariant.WrongAnswer, false, "%s answered %q to request %s", granted.address, reply.Id, t.request.ID)
		err = &call.Error{Method: ServiceName + ".Forward", Peer: granted.address, MayHaveExecuted: true, Err: send.ErrOther}
	}
	if err != nil {
		return t.forwardFailed(ctx, granted, err)
	}
	outcome := Outcome{
		Outcome: reply.Outcome, Status: reply.Status, Reason: reply.Reason, ContentType: reply.ContentType,
		Body: []byte(reply.Body), Box: reply.Box, RetryAfter: milliseconds(reply.RetryAfterMs),
	}
	if outcome.Outcome != wire.OutcomeNotRun {
		t.sent = true
		return outcome, true
	}
	return outcome, !passing(outcome.Status)
}

// passing says whether another sender may take what this one refused.
func passing(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func (t *trip) forwardFailed(ctx context.Context, granted grant, err error) (Outcome, bool) {
	if !call.MayHaveExecuted(err) {
		return Outcome{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: noSenderRetry}, ctx.Err() != nil
	}
	t.sent = true
	t.sends++
	outcome := Outcome{Outcome: wire.OutcomeUnknown, Status: http.StatusBadGateway, Reason: err.Error()}
	return outcome, !granted.row.Repeatable || !t.mayRetry(ctx)
}

func (f *Entry) callPeer(ctx context.Context, address string, args wire.ForwardArgs, reply *wire.ForwardReply) error {
	client := make(chan *call.Client, 1)
	if !f.post(peerMessage{address: address, reply: client}) {
		return &call.Error{Method: "Entry.Forward", Peer: address, Err: context.Canceled}
	}
	select {
	case peer := <-client:
		return peer.Do(ctx, ServiceName+".Forward", args, reply)
	case <-f.ctx.Done():
		return &call.Error{Method: "Entry.Forward", Peer: address, Err: context.Canceled}
	}
}

// refused words the outcome of a request that gets no grant.
func (t *trip) refused(why refusal) Outcome {
	if t.last != nil && (t.sent || t.last.Outcome == wire.OutcomeAnswered) {
		return *t.last
	}
	return Outcome{Outcome: wire.OutcomeNotRun, Status: why.status, Reason: why.reason, RetryAfter: why.retryAfter}
}

// outOfTime is the outcome of a grant that came too late to be used.
func (t *trip) outOfTime() Outcome {
	return t.refused(refusal{status: http.StatusServiceUnavailable, reason: "the right to send or the deadline ran out first", retryAfter: noSenderRetry})
}

// rowOf returns the row of a service in force.
func (f *Entry) rowOf(service string) (settings.Row, bool) {
	return f.inForce.Load().Table().Row(service)
}
