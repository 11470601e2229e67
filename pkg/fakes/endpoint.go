package fakes

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

// EndpointFault is a fault that an endpoint shows on every request.
type EndpointFault string

// Faults of an endpoint.
const (
	FaultNone           EndpointFault = ""
	FaultRefuse         EndpointFault = "refuse"       // Closes the connection without reading the request.
	FaultFailAll        EndpointFault = "fail-all"     // Responds with status 500 at once.
	FaultResetBefore    EndpointFault = "reset-before" // Closes the connection before it runs the request.
	FaultResetAfter     EndpointFault = "reset-after"  // Runs the request and closes the connection.
	FaultPartialBody    EndpointFault = "half"         // Runs the request and sends half of the response.
	FaultSlow           EndpointFault = "late"         // Runs the request for much longer than it asks for.
	FaultHang           EndpointFault = "hang"         // Begins to run the request and never responds.
	FaultWrongRequestID EndpointFault = "other"        // Responds with the ID of another request.
	FaultExcessBody     EndpointFault = "more"         // Sends a longer body than Content-Length declares.
	FaultOversizedBody  EndpointFault = "long"         // Sends a body longer than any limit allows.
	FaultBusy           EndpointFault = "busy"         // Refuses the request for lack of capacity, with status 503.
)

// Work is the body of a request to a stand-in endpoint.
type Work struct {
	// Nonce is unique to the request. The endpoints count the runs of the request under it.
	Nonce string `json:"nonce"`
	// WorkMs is how long the endpoint works on the request, in milliseconds.
	WorkMs int `json:"work_ms"`
	// Padding makes the request larger and has no other effect.
	Padding string `json:"pad,omitempty"`
	// Poison makes every endpoint fail on the request.
	Poison bool `json:"poison,omitempty"`
}

// ExpectedResponse returns the only correct response body for the given request body.
func ExpectedResponse(body []byte) string {
	return "done " + string(body) + " done"
}

// Observations holds the counts of a group of endpoints: runs and violations of invariants. Trials
// compare the runs with the results that clients have got.
type Observations struct {
	mutex sync.Mutex
	// runCounts holds, by nonce, how many runs of the request have begun.
	runCounts map[string]int
	// poolOverlaps counts the requests that began while their box ran requests of another pool.
	poolOverlaps int
	// cutRequests counts the requests that were in flight when their box rebooted.
	cutRequests int
	// lateArrivals counts the requests that reached a box more than leavingGrace after the list
	// began to show it as leaving.
	lateArrivals int
}

// NewObservations returns Observations in which all counts are 0.
func NewObservations() *Observations {
	return &Observations{runCounts: map[string]int{}}
}

// Runs returns how many runs of the request with the given nonce have begun.
func (o *Observations) Runs(nonce string) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.runCounts[nonce]
}

// Violations returns the number of requests that began while their box ran requests of another pool,
// the number that were in flight when their box rebooted, and the number that reached a box too long
// after the list began to show it as leaving.
func (o *Observations) Violations() (poolOverlaps, cutRequests, lateArrivals int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.poolOverlaps, o.cutRequests, o.lateArrivals
}

// update calls change with the lock held.
func (o *Observations) update(change func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	change()
}

// Endpoint is a box with a stand-in endpoint, which serves requests over HTTP.
type Endpoint struct {
	Name         string
	clock        damsonwinch.Clock
	observations *Observations
	poolOf       func(service string) string
	listener     net.Listener
	server       *http.Server
	group        errgroup.Group

	mutex        sync.Mutex
	fault        EndpointFault
	inFlight     map[string]int // The number of requests, by pool.
	rebooting    bool
	leavingSince time.Time // Zero if the list has not shown the box as leaving.
}

// leavingGrace is how long a box may still get requests after the list began to show it as leaving.
const leavingGrace = 2 * time.Second

// NewEndpoint returns an endpoint that serves on a listener until Close. It counts runs and violations
// in observations. The function poolOf returns the pool of a service.
func NewEndpoint(name string, clock damsonwinch.Clock, listener net.Listener, observations *Observations, poolOf func(string) string) *Endpoint {
	e := &Endpoint{Name: name, clock: clock, observations: observations, poolOf: poolOf, listener: listener, inFlight: map[string]int{}}
	router := mux.NewRouter()
	router.HandleFunc("/run/{service}", e.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/reboot", e.handleReboot).Methods(http.MethodPost)
	e.server = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	e.group.Go(func() error { return e.server.Serve(listener) })
	return e
}

// Address returns the IP address and port at which the endpoint serves.
func (e *Endpoint) Address() string {
	return e.listener.Addr().String()
}

// Close stops the endpoint and waits for its goroutines.
func (e *Endpoint) Close() {
	_ = e.server.Close()
	_ = e.group.Wait()
}

// SetFault sets the fault of the endpoint from now on.
func (e *Endpoint) SetFault(fault EndpointFault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = fault
}

// IsServing reports whether the endpoint would serve a request now.
func (e *Endpoint) IsServing() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !e.rebooting && e.fault != FaultFailAll && e.fault != FaultRefuse
}

// MarkLeaving records that the platform's list shows the box as leaving from now on.
func (e *Endpoint) MarkLeaving() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leavingSince = e.clock.Now()
}

// Reboot makes the box refuse requests for a duration, or until ctx ends, and returns then. The requests
// in flight go on, but are counted as violations. Reboot returns an error only if ctx has ended.
func (e *Endpoint) Reboot(ctx context.Context, duration time.Duration) error {
	e.mutex.Lock()
	e.rebooting = true
	cut := 0
	for _, count := range e.inFlight {
		cut += count
	}
	e.mutex.Unlock()
	e.observations.update(func() { e.observations.cutRequests += cut })
	select {
	case <-e.clock.After(duration):
	case <-ctx.Done():
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.rebooting = false
	return ctx.Err()
}

// remoteRebootTime is how long a reboot takes if a stand-in platform in another process requests it.
const remoteRebootTime = 2 * time.Second

// handleReboot reboots the box and responds once it serves again.
func (e *Endpoint) handleReboot(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, e.Reboot(r.Context(), remoteRebootTime))
}

// errClosed means that the endpoint closes the connection instead of sending a response.
var errClosed = errors.New("the endpoint closes the connection")

// handleRun runs a request and responds, as far as the current fault allows.
func (e *Endpoint) handleRun(w http.ResponseWriter, r *http.Request) {
	fault, rebooting := e.status()
	if rebooting || fault == FaultRefuse {
		closeConnection(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	var work Work
	if err != nil || json.Unmarshal(body, &work) != nil {
		http.Error(w, "the request body is not a Work", http.StatusBadRequest)
		return
	}
	w.Header().Set(send.HeaderRequestID, r.Header.Get(send.HeaderRequestID))
	switch {
	case fault == FaultBusy:
		http.Error(w, "no room", http.StatusServiceUnavailable)
	case fault == FaultFailAll || work.Poison:
		http.Error(w, "failed", http.StatusInternalServerError)
	case fault == FaultResetBefore:
		closeConnection(w)
	case e.doWork(r, work, fault) != nil:
		closeConnection(w)
	default:
		e.sendResponse(w, body, fault)
	}
}

// status returns the current fault, and whether the box is rebooting.
func (e *Endpoint) status() (EndpointFault, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault, e.rebooting
}

// doWork counts a request and works on it for the time that it asks for. It returns errClosed if the
// endpoint must not send a response.
func (e *Endpoint) doWork(r *http.Request, work Work, fault EndpointFault) error {
	pool := e.poolOf(mux.Vars(r)["service"])
	e.beginRequest(pool, work.Nonce)
	defer e.endRequest(pool)
	duration := time.Duration(work.WorkMs) * time.Millisecond
	const slowdown = 20
	switch fault {
	case FaultSlow:
		duration *= slowdown
	case FaultHang:
		<-r.Context().Done()
		return errClosed
	}
	select {
	case <-e.clock.After(duration):
	case <-r.Context().Done():
		return errClosed
	}
	if fault == FaultResetAfter {
		return errClosed
	}
	return nil
}

// beginRequest counts a request that begins to run, and the violations that its arrival causes.
func (e *Endpoint) beginRequest(pool, nonce string) {
	e.mutex.Lock()
	e.inFlight[pool]++
	overlap := len(e.inFlight) > 1
	late := !e.leavingSince.IsZero() && e.clock.Since(e.leavingSince) > leavingGrace
	e.mutex.Unlock()
	e.observations.update(func() {
		e.observations.runCounts[nonce]++
		if overlap {
			e.observations.poolOverlaps++
		}
		if late {
			e.observations.lateArrivals++
		}
	})
}

// endRequest removes a request of a pool from those in flight.
func (e *Endpoint) endRequest(pool string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inFlight[pool]--
	if e.inFlight[pool] == 0 {
		delete(e.inFlight, pool)
	}
}

// sendResponse sends the response to a request that has run. Some faults make the response wrong.
func (e *Endpoint) sendResponse(w http.ResponseWriter, body []byte, fault EndpointFault) {
	text := ExpectedResponse(body)
	switch fault {
	case FaultOversizedBody:
		const oversizedBytes = 1 << 21
		text = strings.Repeat("x", oversizedBytes)
	case FaultWrongRequestID:
		w.Header().Set(send.HeaderRequestID, "another")
	case FaultPartialBody:
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		text = text[:len(text)/2]
	case FaultExcessBody:
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		text += strings.Repeat("x", len(text))
	}
	// If the write fails, the entry has gone and needs no response.
	_, _ = io.WriteString(w, text)
}
