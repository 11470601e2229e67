// Package process joins the parts of each program: settings in, a running
// process out.
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
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/table"
)

const readHeaderTimeout = 5 * time.Second

// Env is what a process finds around it.
type Env struct {
	Clock damsonwinch.Clock
	// SuspendedTime tells of suspensions of the machine.
	SuspendedTime damsonwinch.SuspendedTime
	Dial          damsonwinch.Dial
	Logger        logrus.FieldLogger
	// OnViolation is called upon the first breach of each invariant.
	OnViolation func(name, detail string)
	// Metrics holds the process's counters; nil for a set of its own.
	Metrics *metrics.Set
	// Seed starts the choices that chance makes.
	Seed uint64
}

// InitialState returns the state before the first record.
func InitialState() (fold.State, error) {
	checker, err := check.New()
	if err != nil {
		return fold.State{}, err
	}
	return fold.New(table.New(checker)), nil
}

// debug serves a process's counters.
type debug struct {
	server *http.Server
	group  errgroup.Group
}

func serveDebug(listener net.Listener, set *metrics.Set) *debug {
	handler := http.NewServeMux()
	handler.Handle("GET /debug/vars", set)
	d := &debug{server: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
	d.group.Go(func() error { return d.server.Serve(listener) })
	return d
}

func (d *debug) close() {
	_ = d.server.Close()
	_ = d.group.Wait()
}

// listenAll opens a listener for each address, or none at all.
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

// newSet returns a process's counters with its invariants among them.
func newSet(env Env) (*metrics.Set, *invariant.Checker) {
	set := env.Metrics
	if set == nil {
		set = metrics.New()
	}
	book := invariant.New(env.OnViolation)
	set.Include("invariants", book.Counters())
	return set, book
}
