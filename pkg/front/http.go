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
	maxKeyBytes      = 200
	maxCustomerBytes = 64
	// maxClaimWait bounds the wait for the log's decision on a key.
	maxClaimWait = 2 * time.Second
)

func (e *Entry) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run/{service}", e.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/readyz", e.handleReady).Methods(http.MethodGet)
	return router
}

// handleReady tells the balancer whether to send callers here.
func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case e.currentState.Load().Table().Version() == 0:
		http.Error(w, "no table yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (e *Entry) handleRun(w http.ResponseWriter, r *http.Request) {
	e.deps.Metrics.Add("requests", 1)
	id := fmt.Sprintf("%s-%x-%d", e.key.Node, e.incarnation, e.requestCount.Add(1))
	w.Header().Set(HeaderRequestID, id)
	service := mux.Vars(r)["service"]
	row, known := e.currentRow(service)
	if e.currentState.Load().Table().Version() == 0 {
		e.writeRefusal(w, id, newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "this entry has no table yet"))
		return
	}
	if !known {
		e.writeRefusal(w, id, newRefusal(http.StatusNotFound, noRetryAfter, "service %q is not in the table", service))
		return
	}
	request, refused := e.readRequest(r, id, service, row)
	if refused != nil {
		e.writeRefusal(w, id, refused)
		return
	}
	release, refused := e.reserveMemory(len(request.Body))
	if refused != nil {
		e.writeRefusal(w, id, refused)
		return
	}
	defer release()
	e.writeResponse(w, id, e.claimAndRun(r.Context(), request, row, r.Header.Get(HeaderIdempotencyKey)))
}

// readRequest checks a request's headers and takes its whole body.
func (e *Entry) readRequest(r *http.Request, id, service string, row settings.Row) (Request, *refusal) {
	request := Request{ID: id, Service: service, Customer: r.Header.Get(HeaderCustomer), ClientAddress: r.RemoteAddr}
	class, refused := parseClass(r.Header.Get(HeaderClass))
	if refused != nil {
		return request, refused
	}
	request.Class = class
	left, refused := parseIntHeader(r.Header, HeaderDeadline, row.DeadlineMs, row.DeadlineMs)
	if refused != nil {
		return request, refused
	}
	request.Deadline = e.now().Add(milliseconds(left))
	if request.Size, refused = parseIntHeader(r.Header, HeaderSize, 1, maxRequestSlots); refused != nil {
		return request, refused
	}
	if len(request.Customer) > maxCustomerBytes || len(r.Header.Get(HeaderIdempotencyKey)) > maxKeyBytes {
		return request, newRefusal(http.StatusBadRequest, noRetryAfter, "%s or %s is too long; at most %d and %d bytes",
			HeaderCustomer, HeaderIdempotencyKey, maxCustomerBytes, maxKeyBytes)
	}
	request.Body, refused = e.readBody(r, row)
	return request, refused
}

const maxRequestSlots = 1_000_000

func parseClass(text string) (wire.Class, *refusal) {
	switch class := wire.Class(text); class {
	case "":
		return wire.ClassNormal, nil
	case wire.ClassUrgent, wire.ClassNormal, wire.ClassSameDay:
		return class, nil
	}
	return "", newRefusal(http.StatusBadRequest, noRetryAfter, "%s is %q; allowed: urgent, normal, same-day", HeaderClass, text)
}

// parseIntHeader reads a header that holds a whole parseIntHeader from 1 to most.
func parseIntHeader(header http.Header, name string, usual, most int) (int, *refusal) {
	text := header.Get(name)
	if text == "" {
		return usual, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > most {
		return 0, newRefusal(http.StatusBadRequest, noRetryAfter, "%s is %q; allowed: a whole number from 1 to %d", name, text, most)
	}
	return value, nil
}

func (e *Entry) readBody(r *http.Request, row settings.Row) ([]byte, *refusal) {
	most := int64(row.RequestKb) * bytesPerKilobyte
	tooLarge := newRefusal(http.StatusRequestEntityTooLarge, noRetryAfter, "the request is larger than the service's %d bytes", most)
	if r.ContentLength > most {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, noRetryAfter, "the request's body broke off: %v", err)
	}
	return body, nil
}

// claimAndRun runs a request, first claiming its key when it must not run twice.
func (e *Entry) claimAndRun(ctx context.Context, request Request, row settings.Row, key string) Response {
	if row.Repeatable {
		return e.RunRequest(ctx, request)
	}
	// Its outcome matters also when its caller has gone.
	ctx = context.WithoutCancel(ctx)
	if key == "" {
		return e.RunRequest(ctx, request)
	}
	key = request.Service + "/" + key
	until := e.now().Add(maxClaimWait)
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	verdict := e.claimer.Acquire(key, bodyHash(request.Body), until, request.Deadline)
	if verdict.State != claim.Won {
		e.deps.Metrics.Add("claims_lost", 1)
		return claimFailedResponse(verdict)
	}
	outcome := e.RunRequest(ctx, request)
	e.claimer.RecordOutcome(key, verdict.Owner, outcome.Outcome, outcome.Status)
	return outcome
}

func bodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// claimFailedResponse words what is known of a key that another request holds.
func claimFailedResponse(verdict claim.Result) Response {
	switch verdict.State {
	case claim.Mismatch:
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity,
			Reason: "this key was used for a request with another body; use a new key"}
	case claim.Unavailable:
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, RetryAfter: unavailableRetryAfter,
			Reason: "the key could not be claimed in the platform's log; try again with the same key"}
	}
	if verdict.Outcome == wire.OutcomeAnswered {
		return Response{Outcome: wire.OutcomeAnswered, Status: http.StatusConflict,
			Reason: fmt.Sprintf("a request with this key was answered with status %d; its answer is not kept", verdict.Status)}
	}
	return Response{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, RetryAfter: unavailableRetryAfter,
		Reason: "a request with this key is running, or its outcome is not known; look before you send it under a new key"}
}

// writeResponse gives the caller the whole answer, or a refusal's body.
func (e *Entry) writeResponse(w http.ResponseWriter, id string, outcome Response) {
	w.Header().Set(HeaderOutcome, string(outcome.Outcome))
	setRetryAfter(w.Header(), outcome.RetryAfter)
	if outcome.Reason != "" {
		writeRefusalBody(w, outcome.Status, wire.Refusal{
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

func (e *Entry) writeRefusal(w http.ResponseWriter, id string, why *refusal) {
	e.deps.Metrics.Add("refused_"+strconv.Itoa(why.status), 1)
	e.writeResponse(w, id, Response{Outcome: wire.OutcomeNotRun, Status: why.status, Reason: why.reason, RetryAfter: why.retryAfter})
}

// setRetryAfter tells when to come back, in whole seconds as the header has it.
func setRetryAfter(header http.Header, wait time.Duration) {
	if wait <= 0 {
		return
	}
	seconds := int((wait + time.Second - 1) / time.Second)
	header.Set("Retry-After", strconv.Itoa(seconds))
}

func writeRefusalBody(w http.ResponseWriter, status int, body wire.Refusal) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, strings.ToLower(http.StatusText(status)), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n'))
}
