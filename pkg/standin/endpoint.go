package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/send"
)

// EndpointFault is what an endpoint does wrong with requests.
type EndpointFault string

// Faults of an endpoint.
const (
	FaultNone           EndpointFault = ""
	FaultRefuse         EndpointFault = "refuse"       // Takes no connection's request at all.
	FaultFailAll        EndpointFault = "fail-all"     // Answers 500 at once.
	FaultResetBefore    EndpointFault = "reset-before" // Breaks off before it runs.
	FaultResetAfter     EndpointFault = "reset-after"  // Runs and breaks off.
	FaultPartialBody    EndpointFault = "half"         // Runs and answers half.
	FaultSlow           EndpointFault = "late"         // Runs much longer than asked.
	FaultHang           EndpointFault = "hang"         // Never answers.
	FaultWrongRequestID EndpointFault = "other"        // Answers as to another request.
	FaultExcessBody     EndpointFault = "more"         // Sends more than it declared.
	FaultOversizedBody  EndpointFault = "long"         // Answers with more than any limit allows.
	FaultBusy           EndpointFault = "busy"         // Says that it has no room.
)

// Work is the body of a trial request.
type Work struct {
	Nonce   string `json:"nonce"`
	WorkMs  int    `json:"work_ms"`
	Padding string `json:"pad,omitempty"`
	// Poison makes every endpoint fail on it.
	Poison bool `json:"poison,omitempty"`
}

// ExpectedResponse is the one right answer to a body.
func ExpectedResponse(body []byte) string {
	return "done " + string(body) + " done"
}

// Observations is what endpoints saw: the truth that callers' books are compared with.
type Observations struct {
	mutex sync.Mutex
	// runs counts the runs that began, by nonce.
	runs map[string]int
	// overlaps counts boxes that held requests of two pools at once.
	overlaps int
	// cut counts requests in flight when their box rebooted.
	cut int
	// refusedLate counts requests that reached a box marked as leaving too late.
	late int
}

// NewObservations returns an empty book.
func NewObservations() *Observations {
	return &Observations{runs: map[string]int{}}
}

// Runs returns how often a request ran.
func (b *Observations) Runs(nonce string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs[nonce]
}

// Violations returns the counted pool overlaps, cut requests and late arrivals.
func (b *Observations) Violations() (overlaps, cut, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.overlaps, b.cut, b.late
}

func (b *Observations) note(change func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change()
}

// Endpoint is one stand-in endpoint box.
type Endpoint struct {
	Name     string
	clock    damsonwinch.Clock
	book     *Observations
	poolOf   func(service string) string
	listener net.Listener
	server   *http.Server
	group    errgroup.Group

	mutex     sync.Mutex
	fault     EndpointFault
	inFlight  map[string]int // By pool.
	rebooting bool
	leaving   time.Time
}

// leavingGrace is how long a leaving box may still get work.
const leavingGrace = 2 * time.Second

// NewEndpoint serves on a listener until Close.
func NewEndpoint(name string, clock damsonwinch.Clock, listener net.Listener, book *Observations, poolOf func(string) string) *Endpoint {
	e := &Endpoint{Name: name, clock: clock, book: book, poolOf: poolOf, listener: listener, inFlight: map[string]int{}}
	router := mux.NewRouter()
	router.HandleFunc("/run/{service}", e.run).Methods(http.MethodPost)
	router.HandleFunc("/reboot", e.reboot).Methods(http.MethodPost)
	e.server = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	e.group.Go(func() error { return e.server.Serve(listener) })
	return e
}

// Address returns the endpoint's address.
func (e *Endpoint) Address() string {
	return e.listener.Addr().String()
}

// Close stops the endpoint and waits.
func (e *Endpoint) Close() {
	_ = e.server.Close()
	_ = e.group.Wait()
}

// SetFault changes what the endpoint does wrong.
func (e *Endpoint) SetFault(fault EndpointFault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = fault
}

// IsServing says whether the endpoint would answer now.
func (e *Endpoint) IsServing() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !e.rebooting && e.fault != FaultFailAll && e.fault != FaultRefuse
}

// MarkLeaving notes when the platform's list began to show the box as leaving.
func (e *Endpoint) MarkLeaving() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = e.clock.Now()
}

// Reboot takes the box away for a time. What is in flight then is cut.
func (e *Endpoint) Reboot(ctx context.Context, takes time.Duration) error {
	e.mutex.Lock()
	e.rebooting = true
	cut := 0
	for _, count := range e.inFlight {
		cut += count
	}
	e.mutex.Unlock()
	e.book.note(func() { e.book.cut += cut })
	select {
	case <-e.clock.After(takes):
	case <-ctx.Done():
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.rebooting = false
	return ctx.Err()
}

// rebootTakes is the length of a reboot that a stand-in platform in another
// process asks for.
const rebootTakes = 2 * time.Second

func (e *Endpoint) reboot(w http.ResponseWriter, r *http.Request) {
	answer(w, struct{}{}, e.Reboot(r.Context(), rebootTakes))
}

var errBroken = errors.New("the endpoint breaks off")

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	fault, down := e.present()
	if down || fault == FaultRefuse {
		breakOff(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	var work Work
	if err != nil || json.Unmarshal(body, &work) != nil {
		http.Error(w, "a body of work is wanted", http.StatusBadRequest)
		return
	}
	w.Header().Set(send.HeaderRequestID, r.Header.Get(send.HeaderRequestID))
	switch {
	case fault == FaultBusy:
		http.Error(w, "no room", http.StatusServiceUnavailable)
	case fault == FaultFailAll || work.Poison:
		http.Error(w, "failed", http.StatusInternalServerError)
	case fault == FaultResetBefore:
		breakOff(w)
	case e.work(r, work, fault) != nil:
		breakOff(w)
	default:
		e.answer(w, body, fault)
	}
}

func (e *Endpoint) present() (EndpointFault, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault, e.rebooting
}

// work runs the request and writes the book.
func (e *Endpoint) work(r *http.Request, work Work, fault EndpointFault) error {
	pool := e.poolOf(mux.Vars(r)["service"])
	e.begin(pool, work.Nonce)
	defer e.end(pool)
	takes := time.Duration(work.WorkMs) * time.Millisecond
	const muchLonger = 20
	switch fault {
	case FaultSlow:
		takes *= muchLonger
	case FaultHang:
		<-r.Context().Done()
		return errBroken
	}
	select {
	case <-e.clock.After(takes):
	case <-r.Context().Done():
		return errBroken
	}
	if fault == FaultResetAfter {
		return errBroken
	}
	return nil
}

func (e *Endpoint) begin(pool, nonce string) {
	e.mutex.Lock()
	e.inFlight[pool]++
	overlap := len(e.inFlight) > 1
	late := !e.leaving.IsZero() && e.clock.Since(e.leaving) > leavingGrace
	e.mutex.Unlock()
	e.book.note(func() {
		e.book.runs[nonce]++
		if overlap {
			e.book.overlaps++
		}
		if late {
			e.book.late++
		}
	})
}

func (e *Endpoint) end(pool string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inFlight[pool]--
	if e.inFlight[pool] == 0 {
		delete(e.inFlight, pool)
	}
}

func (e *Endpoint) answer(w http.ResponseWriter, body []byte, fault EndpointFault) {
	text := ExpectedResponse(body)
	switch fault {
	case FaultOversizedBody:
		const longAnswer = 1 << 21
		text = strings.Repeat("x", longAnswer)
	case FaultWrongRequestID:
		w.Header().Set(send.HeaderRequestID, "another")
	case FaultPartialBody:
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		text = text[:len(text)/2]
	case FaultExcessBody:
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		text += strings.Repeat("x", len(text))
	}
	// An entry that has gone away needs no answer.
	_, _ = io.WriteString(w, text)
}
