package entry

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

// HTTP headers of clients' requests and of the responses to them.
const (
	// HeaderOutcome says in a response whether the request was answered, was not run or may have run.
	HeaderOutcome = "Damsonwinch-Outcome"
	// HeaderClass is the request's class: urgent, normal or same-day.
	HeaderClass = "Damsonwinch-Class"
	// HeaderCustomer names the customer who sends the request.
	HeaderCustomer = "Damsonwinch-Team"
	// HeaderDeadline is the time within which the client wants the response, in milliseconds.
	HeaderDeadline = "Damsonwinch-Deadline-Ms"
	// HeaderSize is the number of slots that the request needs on one box.
	HeaderSize = "Damsonwinch-Size"
	// HeaderRequestID carries the ID that the entry gave the request, in a response.
	HeaderRequestID = "Damsonwinch-Request"
	// HeaderIdempotencyKey carries a key under which a request runs at most once. It has an effect only
	// for services whose requests may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxKeyBytes      = 200
	maxCustomerBytes = 64
	// maxClaimWait bounds the wait until the log shows which request has claimed a key.
	maxClaimWait = 2 * time.Second
)

// handler returns the handler of clients' requests and of the load balancer's readiness checks.
func (e *Entry) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run/{service}", e.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/readyz", e.handleReady).Methods(http.MethodGet)
	return router
}

// handleReady tells the load balancer whether to send requests to this entry: not during a planned
// stop, nor before the entry has read the table from the log.
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

// handleRun runs a client's request and writes the response.
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

// readRequest checks a request's headers and reads its whole body.
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

// maxRequestSlots is the largest value of HeaderSize that is accepted.
const maxRequestSlots = 1_000_000

// parseClass returns the class that the text of a header names, or the normal class if the text is empty.
func parseClass(text string) (wire.Class, *refusal) {
	switch class := wire.Class(text); class {
	case "":
		return wire.ClassNormal, nil
	case wire.ClassUrgent, wire.ClassNormal, wire.ClassSameDay:
		return class, nil
	}
	return "", newRefusal(http.StatusBadRequest, noRetryAfter, "%s is %q; allowed: urgent, normal, same-day", HeaderClass, text)
}

// parseIntHeader returns the value of a header that holds a whole number from 1 to maximum, or
// defaultValue if the header is missing.
func parseIntHeader(header http.Header, name string, defaultValue, maximum int) (int, *refusal) {
	text := header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > maximum {
		return 0, newRefusal(http.StatusBadRequest, noRetryAfter, "%s is %q; allowed: a whole number from 1 to %d", name, text, maximum)
	}
	return value, nil
}

// readBody reads the request's body, up to the service's limit.
func (e *Entry) readBody(r *http.Request, row settings.Row) ([]byte, *refusal) {
	limit := int64(row.RequestKb) * bytesPerKilobyte
	tooLarge := newRefusal(http.StatusRequestEntityTooLarge, noRetryAfter, "the request is larger than the service's %d bytes", limit)
	if r.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, noRetryAfter, "the request's body could not be read: %v", err)
	}
	return body, nil
}

// claimAndRun runs a request. If the service's requests may not be repeated and the request has an
// idempotency key, it claims the key first and records the outcome under it afterwards.
func (e *Entry) claimAndRun(ctx context.Context, request Request, row settings.Row, key string) Response {
	if row.Repeatable {
		return e.RunRequest(ctx, request)
	}
	// A request that may not be repeated is not cut off when its client disconnects: its outcome is
	// still needed.
	ctx = context.WithoutCancel(ctx)
	if key == "" {
		return e.RunRequest(ctx, request)
	}
	key = request.Service + "/" + key
	until := e.now().Add(maxClaimWait)
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	result := e.claimer.Acquire(key, bodyHash(request.Body), until, request.Deadline)
	if result.State != claim.Won {
		e.deps.Metrics.Add("claims_lost", 1)
		return claimFailedResponse(result)
	}
	response := e.RunRequest(ctx, request)
	e.claimer.RecordOutcome(key, result.Owner, response.Outcome, response.Status)
	return response
}

// bodyHash returns the hash by which a claim tells apart requests with the same key.
func bodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// claimFailedResponse returns the response for a request whose key could not be claimed, with what is
// known of the request that has claimed it.
func claimFailedResponse(result claim.Result) Response {
	switch result.State {
	case claim.Mismatch:
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity,
			Reason: "this key was used for a request with another body; use a new key"}
	case claim.Unavailable:
		return Response{Outcome: wire.OutcomeNotRun, Status: http.StatusServiceUnavailable, RetryAfter: unavailableRetryAfter,
			Reason: "the key could not be claimed in the platform's log; try again with the same key"}
	}
	if result.Outcome == wire.OutcomeAnswered {
		return Response{Outcome: wire.OutcomeAnswered, Status: http.StatusConflict,
			Reason: fmt.Sprintf("a request with this key was answered with status %d; the response is not stored", result.Status)}
	}
	return Response{Outcome: wire.OutcomeUnknown, Status: http.StatusConflict, RetryAfter: unavailableRetryAfter,
		Reason: "a request with this key is running, or its outcome is not known; check whether it took effect before you send it with a new key"}
}

// writeResponse writes an endpoint's response, or a refusal as JSON if the response has a reason.
func (e *Entry) writeResponse(w http.ResponseWriter, id string, response Response) {
	w.Header().Set(HeaderOutcome, string(response.Outcome))
	setRetryAfter(w.Header(), response.RetryAfter)
	if response.Reason != "" {
		writeRefusalBody(w, response.Status, wire.Refusal{
			Outcome: response.Outcome, Reason: response.Reason, RequestId: id, RetryAfterMs: int(response.RetryAfter.Milliseconds()),
		})
		return
	}
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	// An error means that the client has disconnected and needs no response.
	_, _ = w.Write(response.Body)
}

// writeRefusal writes and counts the refusal of a request that was not passed to RunRequest.
func (e *Entry) writeRefusal(w http.ResponseWriter, id string, refused *refusal) {
	e.deps.Metrics.Add("refused_"+strconv.Itoa(refused.status), 1)
	e.writeResponse(w, id, Response{Outcome: wire.OutcomeNotRun, Status: refused.status, Reason: refused.reason, RetryAfter: refused.retryAfter})
}

// setRetryAfter sets the Retry-After header, which holds whole seconds, to wait rounded up. It sets
// nothing if wait is 0.
func setRetryAfter(header http.Header, wait time.Duration) {
	if wait <= 0 {
		return
	}
	seconds := int((wait + time.Second - 1) / time.Second)
	header.Set("Retry-After", strconv.Itoa(seconds))
}

// writeRefusalBody writes a refusal as JSON.
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
