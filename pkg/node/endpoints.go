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

// followEndpoints reads the endpoints' registrations until the node is closed. It pauses while this node owns no
// cell of a pool.
func (n *Node) followEndpoints() error {
	feed.New(n.feedDeps(), feed.Options{
		Stream: n.deps.Platform.EndpointStream, Pause: n.endpointReadInterval, Wanted: n.ownsPoolCell.Load, Wake: n.wakeEndpointFeed,
		OnSnapshot: func(records []damsonwinch.Record, _ int, requestedAt time.Time) {
			n.send(endpointRecords{records: records, snapshot: true, requestedAt: requestedAt})
		},
		OnRecords: func(records []damsonwinch.Record, _ int, requestedAt time.Time) {
			n.send(endpointRecords{records: records, requestedAt: requestedAt})
		},
	}).Run(n.ctx)
	return nil
}

// endpointReadInterval returns the time until the next read of the registrations. It depends on whether tasks
// of any cell on this node wait for capacity.
func (n *Node) endpointReadInterval() time.Duration {
	for _, runner := range *n.runners.Load() {
		if cellOwner, isOwner := runner.(*owner.Owner); isOwner && cellOwner.HasWaitingTasks() {
			return shortReadInterval
		}
	}
	return readInterval
}

// updateEndpointFeed makes the node follow the endpoints' registrations while one of its runners is an owner.
// Without an owner the node drops the registrations, which would be out of date at its next takeover.
func (n *Node) updateEndpointFeed(runners map[string]cellRunner) {
	ownsPoolCell := false
	for _, runner := range runners {
		if _, isOwner := runner.(*owner.Owner); isOwner {
			ownsPoolCell = true
		}
	}
	if !ownsPoolCell {
		n.state.registry.reset()
	}
	n.ownsPoolCell.Store(ownsPoolCell)
	n.refreshEndpoints()
	if n.assignShards() {
		n.sendEndpoints(func(string) bool { return true })
	}
}

// refreshEndpoints makes the feed read the endpoints' registrations at once. It doesn't block.
func (n *Node) refreshEndpoints() {
	select {
	case n.wakeEndpointFeed <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// applyEndpointRecords applies records of the endpoints' stream to the registry and sends the owners their
// endpoints if something has changed for them.
func (n *Node) applyEndpointRecords(m endpointRecords) {
	if !n.ownsPoolCell.Load() {
		return
	}
	m.receivedAt = n.deps.Clock.Now()
	changed, refused := n.state.registry.apply(m)
	for _, err := range refused {
		n.deps.Metrics.Add("endpoint_entries_refused", 1)
		n.deps.Logger.WithError(err).Error("endpoint not used: its registration is invalid")
	}
	if len(m.records) == 0 && !m.snapshot {
		return
	}
	changed = n.assignShards() || changed
	// An owner whose endpoints don't reject overload also needs to know how recent its knowledge of their
	// capacity is.
	n.sendEndpoints(func(cell string) bool { return changed || !n.rejectsOverload(cell) })
}

// sendEndpoints sends each owner for whose cell needs returns true the list of the cell's endpoints. It does
// nothing while the registry isn't ready for that.
func (n *Node) sendEndpoints(needs func(cell string) bool) {
	if !n.state.registry.readyForOwners(n.state.layout, &n.state.placements) {
		return
	}
	for name, runner := range *n.runners.Load() {
		if cellOwner, isOwner := runner.(*owner.Owner); isOwner && needs(name) {
			cellOwner.SetEndpoints(n.state.registry.cellEndpoints(name, n.state.layout))
		}
	}
}
