// Package process starts the processes of dw-node, dw-keeper and dw-entry: it builds all
// components of a process from its settings.
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

const readHeaderTimeout = 5 * time.Second

// Env is the environment of a process: what its settings do not describe.
type Env struct {
	Clock damsonwinch.Clock
	// SuspendedTime returns for how long the machine has been suspended. Only a Node uses it.
	SuspendedTime damsonwinch.SuspendedTime
	Dial          damsonwinch.Dial
	Logger        logrus.FieldLogger
	// OnViolation is called upon the first violation of each invariant.
	OnViolation func(name, detail string)
	// Metrics receives the counters of the process. If it is nil, the process creates a set.
	Metrics *metrics.Set
	// Seed is the seed of an Entry's random choices.
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

// listenAll opens a TCP listener at each address. If one fails it closes those already open.
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

// newMetrics returns the metrics of a process, and a checker of invariants whose counters are
// part of them.
func newMetrics(env Env) (*metrics.Set, *invariant.Checker) {
	set := env.Metrics
	if set == nil {
		set = metrics.New()
	}
	checker := invariant.New(env.OnViolation)
	set.Include("invariants", checker.Counters())
	return set, checker
}
