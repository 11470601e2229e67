package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/owner"
)

// Intervals between two reads of the endpoints' registrations. Each endpoint writes its own every second or
// two, so a read that waited for new records would return for nearly every single record.
const (
	// shortReadInterval is the interval while tasks wait for capacity, which new endpoints may provide.
	// A short job can only wait for about a second.
	shortReadInterval = 100 * time.Millisecond
	// readInterval is the interval otherwise. A node must learn within 2 s that an endpoint is draining.
	readInterval = 300 * time.Millisecond
)

// followEndpoints reads the endpoints' registrations until the node is closed. It pauses while this node needs
// none, or learns the endpoints of its cells from other nodes.
func (n *Node) followEndpoints() error {
	feed.New(n.feedDeps(), feed.Options{
		Stream: n.deps.Platform.EndpointStream, Pause: n.endpointReadInterval, Period: n.registrationPeriod, Wake: n.wakeEndpointFeed,
		OnSnapshot: func(records []damsonwinch.Record, end int, requestedAt time.Time) {
			n.send(endpointRecords{records: records, snapshot: true, end: end, requestedAt: requestedAt})
		},
		OnRecords: func(records []damsonwinch.Record, end int, requestedAt time.Time) {
			n.send(endpointRecords{records: records, end: end, requestedAt: requestedAt})
		},
	}).Run(n.ctx)
	return nil
}

// endpointReadInterval returns the time until the next read of the registrations, or of the lists of other nodes.
// It is short while this node reads for others, and while tasks of any cell on this node wait for capacity.
func (n *Node) endpointReadInterval() time.Duration {
	if n.endpointAccess.Load().serves {
		return shortReadInterval
	}
	for _, runner := range *n.runners.Load() {
		if cellOwner, isOwner := runner.(*owner.Owner); isOwner && cellOwner.HasWaitingTasks() {
			return shortReadInterval
		}
	}
	return readInterval
}

// refreshEndpoints makes this node read the endpoints' registrations, or the lists of other nodes, at once. It
// doesn't block.
func (n *Node) refreshEndpoints() {
	for _, wake := range []chan struct{}{n.wakeEndpointFeed, n.wakeFollower} {
		select {
		case wake <- struct{}{}:
		default:
			// A wake-up is already pending.
		}
	}
}

// applyEndpointRecords applies records of the endpoints' stream to the registry and sends the owners their
// endpoints if something has changed for them.
func (n *Node) applyEndpointRecords(m endpointRecords) {
	if !n.readsRegistrations() {
		return
	}
	m.receivedAt = n.deps.Clock.Now()
	changed, refused := n.state.registry.apply(m)
	for _, err := range refused {
		n.deps.Metrics.Add("endpoint_entries_refused", 1)
		n.deps.Logger.WithError(err).Error("endpoint not used: its registration is invalid")
	}
	changed = n.assignShards() || changed
	n.publishLists(changed)
	if len(m.records) == 0 && !m.snapshot && !changed {
		return
	}
	// An owner whose endpoints don't reject overload also needs to know how recent its knowledge of their
	// capacity is.
	n.sendEndpoints(func(cell string) bool { return changed || !n.rejectsOverload(cell) })
}

// sendEndpoints sends each owner for whose cell needs returns true the list of the cell's endpoints. It does
// nothing while the registry isn't ready for that.
func (n *Node) sendEndpoints(needs func(cell string) bool) {
	if !n.registryReady() {
		return
	}
	for name, runner := range *n.runners.Load() {
		if cellOwner, isOwner := runner.(*owner.Owner); isOwner && needs(name) {
			cellOwner.SetEndpoints(n.state.registry.cellEndpoints(name, n.state.layout))
		}
	}
}

// registryReady reports whether all registrations have been read and all lives that were listed at first have a
// shard.
func (n *Node) registryReady() bool {
	return n.state.registry.complete && n.state.registry.readyForOwners(n.state.layout, &n.state.placements)
}

// knownEndpoints returns the endpoints of a cell, or false while this node doesn't know them all.
func (n *Node) knownEndpoints(cell string) ([]damsonwinch.Endpoint, bool) {
	if !n.readsRegistrations() {
		listed, known := n.state.listed[cell]
		return listed, known
	}
	if !n.registryReady() {
		return nil, false
	}
	return n.state.registry.cellEndpoints(cell, n.state.layout), true
}
