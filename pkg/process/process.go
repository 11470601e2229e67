// Package process assembles and starts the programs dw-node, dw-keeper and dw-entry from their
// settings.
package process

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/check"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/table"
)

// readHeaderTimeout is how long an HTTP server waits for the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Env holds what a process needs in addition to its settings.
type Env struct {
	Clock damsonwinch.Clock
	// SuspendedTime returns the total time for which the machine has been suspended. Only a Node
	// uses it.
	SuspendedTime damsonwinch.SuspendedTime
	Dial          damsonwinch.Dial
	Logger        logrus.FieldLogger
	// OnViolation is called upon the first violation of each invariant, with the name of the
	// invariant and a description of the violation. A Node never calls it.
	OnViolation func(name, detail string)
	// Metrics receives the counters of the process. If it is nil, the process creates a set.
	Metrics *metrics.Set
	// Seed is the seed of the random choices of an Entry. Only an Entry uses it.
	Seed uint64
}

// InitialState returns the state of the fleet before the first record of the log is applied.
func InitialState() (fleetstate.State, error) {
	checker, err := check.New()
	if err != nil {
		return fleetstate.State{}, err
	}
	return fleetstate.New(table.New(checker)), nil
}

// debugServer serves the counters of a process over HTTP at /debug/vars.
type debugServer struct {
	server *http.Server
	group  errgroup.Group
}

// serveDebug starts a server that serves the counters of set on a listener until it is closed.
func serveDebug(listener net.Listener, set *metrics.Set) *debugServer {
	handler := http.NewServeMux()
	handler.Handle("GET /debug/vars", set)
	d := &debugServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
	d.group.Go(func() error { return d.server.Serve(listener) })
	return d
}

func (d *debugServer) close() {
	_ = d.server.Close()
	_ = d.group.Wait()
}

// listenAll opens a TCP listener at each address and returns the listeners in the same order. If
// one address fails, it closes the listeners already open.
func listenAll(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, fmt.Errorf("listen at %s: %w", address, err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// newMetrics returns the metrics of a process, and a checker of invariants. The metrics include
// the checker's counters.
func newMetrics(env Env) (*metrics.Set, *invariant.Checker) {
	set := env.Metrics
	if set == nil {
		set = metrics.New()
	}
	checker := invariant.New(env.OnViolation)
	set.Include("invariants", checker.Counters())
	return set, checker
}
