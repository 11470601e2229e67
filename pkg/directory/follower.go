package directory

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

const (
	// callTimeout bounds one call to another node.
	callTimeout = 600 * time.Millisecond
	// maxAge is the age above which the lists of another node aren't used. That node reads the registrations
	// every 100 ms.
	maxAge = 1500 * time.Millisecond
	// retryInterval is the time until the next call after one that has failed.
	retryInterval = 100 * time.Millisecond
	// maxSilence is how long all calls may fail before Unreachable is called. When the whole system starts
	// again, the other nodes need that long to read all registrations.
	maxSilence = 2 * time.Second
)

// Reasons for which the reply of another node is not used.
var (
	errUnknown = errors.New("the node doesn't know the present endpoints")
	errBehind  = errors.New("the node has read fewer registrations than another one")
)

// Deps are the dependencies of a Follower.
type Deps struct {
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// Fetch asks the node at an address for what has changed.
	Fetch func(ctx context.Context, address string, args wire.DirectoryArgs) (wire.DirectoryReply, error)
}

// Options configure a Follower.
type Options struct {
	// Upstreams returns the addresses of the nodes that have the lists. While there are none the follower
	// waits for Wake.
	Upstreams func() []string
	// Cells returns the names of the cells whose endpoints are needed.
	Cells func() []string
	// Pause returns the time until the next call. Wake ends it.
	Pause func() time.Duration
	Wake  <-chan struct{}
	// OnList is called with the endpoints of a cell, at first and after each change.
	OnList func(cell string, endpoints []damsonwinch.Endpoint)
	// OnUnreachable is called when no node has answered for maxSilence.
	OnUnreachable func()
}

// Follower keeps the lists of some cells' endpoints up to date by asking other nodes.
type Follower struct {
	deps    Deps
	options Options
	// lists holds the lists of the cells by name.
	lists map[string]followedList
	// end is the offset of the first registration that the lists don't follow. A reply that follows fewer is
	// not used: an endpoint would seem to accept tasks again that drains.
	end int
	// failures counts failed calls. Each makes the follower ask the next node.
	failures int
	// failingSince is when the first of the latest calls failed, or zero if the last one succeeded.
	failingSince time.Time
}

// followedList is the list of a cell's endpoints by ID, and the version of it that this node has.
type followedList struct {
	known     wire.KnownCell
	endpoints map[string]damsonwinch.Endpoint
}

// NewFollower returns a follower. It asks nobody before Run is called.
func NewFollower(deps Deps, options Options) *Follower {
	return &Follower{deps: deps, options: options, lists: map[string]followedList{}}
}

// Run follows the lists until ctx ends. It calls the functions of Options from its own goroutine.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		upstreams := f.options.Upstreams()
		if len(upstreams) == 0 {
			clear(f.lists)
			f.failingSince = time.Time{}
			f.sleep(ctx, 0)
			continue
		}
		f.dropOtherCells()
		if err := f.fetch(ctx, upstreams[f.failures%len(upstreams)]); err != nil {
			f.recordFailure(ctx, err)
			f.sleep(ctx, retryInterval)
			continue
		}
		f.failingSince = time.Time{}
		f.sleep(ctx, f.options.Pause())
	}
}

// dropOtherCells forgets the lists of cells that are not needed any more.
func (f *Follower) dropOtherCells() {
	needed := map[string]bool{}
	for _, cell := range f.options.Cells() {
		needed[cell] = true
		if _, followed := f.lists[cell]; !followed {
			f.lists[cell] = followedList{known: wire.KnownCell{Cell: cell}}
		}
	}
	for cell := range f.lists {
		if !needed[cell] {
			delete(f.lists, cell)
		}
	}
}

// fetch asks a node for what has changed, and applies it.
func (f *Follower) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var args wire.DirectoryArgs
	for _, list := range f.lists {
		args.Cells = append(args.Cells, list.known)
	}
	reply, err := f.deps.Fetch(ctx, address, args)
	if err == nil {
		err = f.check(reply)
	}
	if err != nil {
		return fmt.Errorf("endpoints from %s: %w", address, err)
	}
	f.end = reply.End
	for _, changes := range reply.Cells {
		f.apply(reply.Source, changes)
	}
	return nil
}

// check returns an error if a reply must not be used.
func (f *Follower) check(reply wire.DirectoryReply) error {
	switch {
	case !reply.Known || time.Duration(reply.AgeMs)*time.Millisecond > maxAge:
		return errUnknown
	case reply.End < f.end:
		return errBehind
	}
	return nil
}

// apply applies the changes of one list, unless the list isn't followed.
func (f *Follower) apply(source int, changes wire.CellChanges) {
	list, followed := f.lists[changes.Cell]
	if !followed {
		return
	}
	if changes.Complete || list.endpoints == nil {
		list.endpoints = map[string]damsonwinch.Endpoint{}
	}
	for _, listed := range changes.Endpoints {
		list.endpoints[listed.Id] = endpoint(listed)
	}
	for _, id := range changes.Removed {
		delete(list.endpoints, id)
	}
	list.known = wire.KnownCell{Cell: changes.Cell, Source: source, Version: changes.Version}
	f.lists[changes.Cell] = list
	f.deps.Metrics.Add("directory_endpoints_received", len(changes.Endpoints)+len(changes.Removed))
	f.options.OnList(changes.Cell, slices.SortedFunc(maps.Values(list.endpoints), func(a, b damsonwinch.Endpoint) int { return a.Life.Compare(b.Life) }))
}

// recordFailure makes the next call go to another node, and calls OnUnreachable once calls have failed for long.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := f.deps.Clock.Now()
	f.failures++
	f.deps.Metrics.Add("directory_failures", 1)
	switch {
	case f.failingSince.IsZero():
		f.failingSince = now
		f.deps.Logger.WithError(err).Info("endpoints are asked from another node")
	case now.Sub(f.failingSince) >= maxSilence:
		f.failingSince = time.Time{}
		f.deps.Logger.WithError(err).Warn("no node knows the endpoints")
		f.options.OnUnreachable()
	}
}

// sleep waits until a time has passed, Wake is received from or ctx ends. It waits only for the latter two if
// the time is 0.
func (f *Follower) sleep(ctx context.Context, length time.Duration) {
	var elapsed <-chan time.Time
	if length > 0 {
		timer := f.deps.Clock.NewTimer(length)
		defer timer.Stop()
		elapsed = timer.Chan()
	}
	select {
	case <-ctx.Done():
	case <-elapsed:
	case <-f.options.Wake:
	}
}
