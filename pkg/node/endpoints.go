package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/owner"
)

// Times between two readings of the endpoints' entries. Each endpoint writes every
// second or two: waiting for news would mean a call for each of them.
const (
	// shortReadInterval is that time while tasks wait for boxes to come: quick jobs can
	// wait for about a second.
	shortReadInterval = 100 * time.Millisecond
	// readInterval is that time otherwise. A draining endpoint must be known within two
	// seconds.
	readInterval = 300 * time.Millisecond
)

func (n *Node) followEndpoints() error {
	feed.New(n.feedDeps(), feed.Options{
		Stream: n.deps.Platform.EndpointStream, Pause: n.endpointReadInterval, Wanted: n.ownsPoolCell.Load, Wake: n.wakeEndpointFeed,
		Snapshot: func(records []damsonwinch.Record, _ int, askedAt time.Time) {
			n.send(endpointRecords{records: records, snapshot: true, requestedAt: askedAt})
		},
		Added: func(records []damsonwinch.Record, _ int, askedAt time.Time) {
			n.send(endpointRecords{records: records, requestedAt: askedAt})
		},
	}).Run(n.ctx)
	return nil
}

func (n *Node) endpointReadInterval() time.Duration {
	for _, held := range *n.runners.Load() {
		if cellOwner, isOwner := held.(*owner.Owner); isOwner && cellOwner.HasWaitingTasks() {
			return shortReadInterval
		}
	}
	return readInterval
}

// updateEndpointFeed has the endpoints followed while this node owns a pool. Without one
// it forgets them: what it knows would be out of date when it takes a pool over.
func (n *Node) updateEndpointFeed(held map[string]cellRunner) {
	owning := false
	for _, running := range held {
		if _, isOwner := running.(*owner.Owner); isOwner {
			owning = true
		}
	}
	if !owning {
		n.state.registry.reset()
	}
	n.ownsPoolCell.Store(owning)
	n.refreshEndpoints()
	if n.assignShards() {
		n.sendEndpoints(func(string) bool { return true })
	}
}

// refreshEndpoints has the endpoints' entries read at once.
func (n *Node) refreshEndpoints() {
	select {
	case n.wakeEndpointFeed <- struct{}{}:
	default:
		// It has been told already.
	}
}

func (n *Node) applyEndpointRecords(m endpointRecords) {
	if !n.ownsPoolCell.Load() {
		return
	}
	m.receivedAt = n.deps.Clock.Now()
	changed, refused := n.state.registry.apply(m)
	for _, err := range refused {
		n.deps.Metrics.Add("endpoint_entries_refused", 1)
		n.deps.Logger.WithError(err).Error("endpoint not used: its entry can't be trusted")
	}
	if len(m.records) == 0 && !m.snapshot {
		return
	}
	changed = n.assignShards() || changed
	// Owners of endpoints that don't guard their room must know how old their word of it is.
	n.sendEndpoints(func(cell string) bool { return changed || !n.rejectsOverload(cell) })
}

// sendEndpoints tells owners of cells that need it of the endpoints.
func (n *Node) sendEndpoints(needs func(cell string) bool) {
	if !n.state.registry.readyForOwners(n.state.layout, &n.state.placements) {
		return
	}
	for name, held := range *n.runners.Load() {
		if cellOwner, isOwner := held.(*owner.Owner); isOwner && needs(name) {
			cellOwner.SetEndpoints(n.state.registry.cellEndpoints(name, n.state.layout))
		}
	}
}
