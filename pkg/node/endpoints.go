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
	// hurriedPause is that time while tasks wait for boxes to come: quick jobs can
	// wait for about a second.
	hurriedPause = 100 * time.Millisecond
	// usualPause is that time otherwise. A draining endpoint must be known within two
	// seconds.
	usualPause = 300 * time.Millisecond
)

func (n *Node) followEndpoints() error {
	feed.New(n.feedDeps(), feed.Options{
		Stream: n.deps.Platform.EndpointStream, Pause: n.endpointPause, Wanted: n.owning.Load, Wake: n.follow,
		OnSnapshot: func(records []damsonwinch.Record, _ int, askedAt time.Time) {
			n.send(endpointRecords{records: records, snapshot: true, askedAt: askedAt})
		},
		OnRecords: func(records []damsonwinch.Record, _ int, askedAt time.Time) {
			n.send(endpointRecords{records: records, askedAt: askedAt})
		},
	}).Run(n.ctx)
	return nil
}

func (n *Node) endpointPause() time.Duration {
	for _, held := range *n.holdings.Load() {
		if cellOwner, isOwner := held.(*owner.Owner); isOwner && cellOwner.HasWaitingTasks() {
			return hurriedPause
		}
	}
	return usualPause
}

// needEndpoints has the endpoints followed while this node owns a pool. Without one
// it forgets them: what it knows would be out of date when it takes a pool over.
func (n *Node) needEndpoints(held map[string]holding) {
	owning := false
	for _, running := range held {
		if _, isOwner := running.(*owner.Owner); isOwner {
			owning = true
		}
	}
	if !owning {
		n.state.registry.forget()
	}
	n.owning.Store(owning)
	n.readEndpoints()
	if n.sortLives() {
		n.tellEndpoints(func(string) bool { return true })
	}
}

// readEndpoints has the endpoints' entries read at once.
func (n *Node) readEndpoints() {
	select {
	case n.follow <- struct{}{}:
	default:
		// It has been told already.
	}
}

func (n *Node) takeEndpoints(m endpointRecords) {
	if !n.owning.Load() {
		return
	}
	m.takenAt = n.deps.Clock.Now()
	changed, refused := n.state.registry.take(m)
	for _, err := range refused {
		n.deps.Metrics.Add("endpoint_entries_refused", 1)
		n.deps.Logger.WithError(err).Error("endpoint not used: its entry can't be trusted")
	}
	if len(m.records) == 0 && !m.snapshot {
		return
	}
	changed = n.sortLives() || changed
	// Owners of endpoints that don't guard their room must know how old their word of it is.
	n.tellEndpoints(func(cell string) bool { return changed || !n.guarded(cell) })
}

// tellEndpoints tells owners of cells that need it of the endpoints.
func (n *Node) tellEndpoints(needs func(cell string) bool) {
	if !n.state.registry.told(n.state.layout, &n.state.placements) {
		return
	}
	for name, held := range *n.holdings.Load() {
		if cellOwner, isOwner := held.(*owner.Owner); isOwner && needs(name) {
			cellOwner.SetEndpoints(n.state.registry.of(name, n.state.layout))
		}
	}
}
