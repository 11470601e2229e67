package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"damsonwinch/pkg/claim"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// Headers of callers' requests and of their answers.
const (
	HeaderOutcome        = "Damsonwinch-Outcome"
	HeaderClass          = "Damsonwinch-Class"
	HeaderCustomer       = "Damsonwinch-Team"
	HeaderDeadline       = "Damsonwinch-Deadline-Ms"
	HeaderSize           = "Damsonwinch-Size"
	HeaderRequestID      = "Damsonwinch-Request"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	mostKeyLength  = 200
	mostTeamLength = 64
	// claimWait bounds the wait for the log's decision on a key.
	claimWait = 2 * time.Second
)

func (f *Entry) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run/{service}", f.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/readyz", f.handleReady).Methods(http.MethodGet)
	return router
}

// handleReady tells the balancer whether to send callers here.
func (f *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case f.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case f.inForce.Load().Table().Version() == 0:
		http.Error(w, "no table yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (f *Entry) handleRun(w http.ResponseWriter, r *http.Request) {
	f.deps.Metrics.Add("requests", 1)
	id := fmt.Sprintf("%s-%x-%d", f.key.Node, f.incarnation, f.requests.Add(1))
	w.Header().Set(HeaderRequestID, id)
	service := mux.Vars(r)["service"]
	row, known := f.rowOf(service)
	if f.inForce.Load().Table().Version() == 0 {
		f.writeRefusal(w, id, refuse(http.StatusServiceUnavailable, noSenderRetry, "this entry has no table yet"))
		return
	}
	if !known {
		f.writeRefusal(w, id, refuse(http.StatusNotFound, neverRetry, "service %q is not in the table", service))
		return
	}
	request, refused := f.read(r, id, service, row)
	if refused != nil {
		f.writeRefusal(w, id, refused)
		return
	}
	release, refused := f.hold(len(request.Body))
	if refused != nil {
		f.writeRefusal(w, id, refused)
		return
	}
	defer release()
	f.write(w, id, f.runClaimed(r.Context(), request, row, r.Header.Get(HeaderIdempotencyKey)))
}

// read checks a request's headers and takes its whole body.
func (f *Entry) read(r *http.Request, id, service string, row settings.Row) (Request, *refusal) {
	request := Request{ID: id, Service: service, Team: r.Header.Get(HeaderCustomer), Caller: r.RemoteAddr}
	class, refused := classOf(r.Header.Get(HeaderClass))
	if refused != nil {
		return request, refused
	}
	request.Class = class
	left, refused := number(r.Header, HeaderDeadline, row.DeadlineMs, row.DeadlineMs)
	if refused != nil {
		return request, refused
	}
	request.Deadline = f.now().Add(milliseconds(left))
	if request.Size, refused = number(r.Header, HeaderSize, 1, maxSize); refused != nil {
		return request, refused
	}
	if len(request.Team) > mostTeamLength || len(r.Header.Get(HeaderIdempotencyKey)) > mostKeyLength {
		return request, refuse(http.StatusBadRequest, neverRetry, "%s or %s is too long; at most %d and %d bytes",
			HeaderCustomer, HeaderIdempotencyKey, mostTeamLength, mostKeyLength)
	}
	request.Body, refused = f.readBody(r, row)
	return request, refused
}

const maxSize = 1_000_000

func classOf(text string) (wire.Class, *refusal) {
	switch class := wire.Class(text); class {
	case "":
		return wire.ClassNormal, nil
	case wire.ClassUrgent, wire.ClassNormal, wire.ClassSameDay:
		return class, nil
	}
	return "", refuse(http.StatusBadRequest, neverRetry, "%s is %q; allowed: urgent, normal, same-day", HeaderClass, text)
}

// number reads a header that holds a whole number from 1 to most.
func number(header http.Header, name string, usual, most int) (int, *refusal) {
	text := header.Get(name)
	if text == "" {
		return usual, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > most {
		return 0, refuse(http.StatusBadRequest, neverRetry, "%s is %q; allowed: a whole number from 1 to %d", name, text, most)
	}
	return value, nil
}

func (f *Entry) readBody(r *http.Request, row settings.Row) ([]byte, *refusal) {
	most := int64(row.RequestKb) * bytesAKilobyte
	tooLarge := refuse(http.StatusRequestEntityTooLarge, neverRetry, "the request is larger than the service's %d bytes", most)
	if r.ContentLength > most {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge
	case err != nil:
		return nil, refuse(http.StatusBadRequest, neverRetry, "the request's body broke off: %v", err)
	}
	return body, nil
}

// runClaimed runs a request, first claiming its key when it must not run twice.
func (f *Entry) runClaimed(ctx context.Context, request Request, row settings.Row, key string) Outcome {
	if row.Repeatable {
		return f.Run(ctx, request)
	}
	// Its outcome matters also when its caller has gone.
	ctx = context.WithoutCancel(ctx)
	if key == "" {
		return f.Run(ctx, request)
	}
	key = request.Service + "/" + key
	until := f.now().Add(claimWait)
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	verdict := f.claims.Acquire(key, digest(request.Body), until, request.Deadline)
	if verdict.State != claim.Won {
		f.deps.Metrics.Add("claims_lost", 1)
		return lostClaim(verdict)
	}
	outcome := f.Run(ctx, request)
	f.claims.RecordOutcome(key, verdict.Owner, outcome.Outcome, outcome.Status)
	return outcome
}

func digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// lostClaim words what is known of a key that another request holds.
func lostClaim(verdict claim.Result) Outcome {
	switch verdict.State {
	case claim.Mismatch:
		return Outcome{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity,
			Reason: "this key was used for a request with another body; use a new key"}
	case claim.Unavailable:
		return Outcome{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, RetryAfter: noSenderRetry,
			Reason: "the key could not be claimed in the platform's log; try again with the same key"}
	}
	if verdict.Outcome == wire.OutcomeAnswered {
		return Outcome{Outcome: wire.OutcomeAnswered, Status: http.StatusConflict,
			Reason: fmt.Sprintf("a request with this key was answered with status %d; its answer is not kept", verdict.Status)}
	}
	return Outcome{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, RetryAfter: noSenderRetry,
		Reason: "a request with this key is running, or its outcome is not known; look before you send it under a new key"}
}

// write gives the caller the whole answer, or a refusal's body.
func (f *Entry) write(w http.ResponseWriter, id string, outcome Outcome) {
	w.Header().Set(HeaderOutcome, string(outcome.Outcome))
	setRetryAfter(w.Header(), outcome.RetryAfter)
	if outcome.Reason != "" {
		writeBody(w, outcome.Status, wire.Refusal{
			Outcome: outcome.Outcome, Reason: outcome.Reason, RequestId: id, RetryAfterMs: int(outcome.RetryAfter.Milliseconds()),
		})
		return
	}
	if outcome.ContentType != "" {
		w.Header().Set("Content-Type", outcome.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	w.WriteHeader(outcome.Status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(outcome.Body)
}

func (f *Entry) writeRefusal(w http.ResponseWriter, id string, why *refusal) {
	f.deps.Metrics.Add("refused_"+strconv.Itoa(why.status), 1)
	f.write(w, id, Outcome{Outcome: wire.OutcomeNotRun, Status: why.status, Reason: why.reason, RetryAfter: why.retryAfter})
}

// setRetryAfter tells when to come back, in whole seconds as the header has it.
func setRetryAfter(header http.Header, wait time.Duration) {
	if wait <= 0 {
		return
	}
	seconds := int((wait + time.Second - 1) / time.Second)
	header.Set("Retry-After", strconv.Itoa(seconds))
}

func writeBody(w http.ResponseWriter, status int, body wire.Refusal) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, strings.ToLower(http.StatusText(status)), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}
