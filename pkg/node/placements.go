package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
)

// placementReadInterval is the time between two reads of the planner's placements. They are also read at once
// when a new life of an endpoint needs a shard.
const placementReadInterval = 10 * time.Second

// placements holds the placements of boxes that have been read from the planner's stream.
type placements struct {
	byBox map[string]shard.Placement
	// nextOffset is the offset of the first record that has not been read. upToDateAt is when the latest
	// read was sent that reached the end of the stream, or zero if there has been none.
	nextOffset int
	upToDateAt time.Time
}

// placementRecords is a message with records of the planner's stream.
type placementRecords struct {
	records  []damsonwinch.Record
	snapshot bool
	// end is the offset that the stream's next record will get.
	end         int
	requestedAt time.Time
}

// newPlacements returns placements of which nothing has been read.
func newPlacements() placements {
	return placements{byBox: map[string]shard.Placement{}}
}

// apply applies records of the planner's stream and returns an error for each one that is invalid.
func (p *placements) apply(m placementRecords) (refused []error) {
	if m.snapshot {
		clear(p.byBox)
		p.nextOffset = m.end
	} else {
		p.nextOffset += len(m.records)
	}
	for _, record := range m.records {
		box, placement, err := planner.ParsePlacement(record)
		switch {
		case err != nil:
			refused = append(refused, err)
		case placement != nil:
			p.byBox[box] = *placement
		case box != "":
			delete(p.byBox, box)
		}
	}
	if p.nextOffset >= m.end {
		p.upToDateAt = m.requestedAt
	}
	return refused
}

// find returns the placement by the newest order on a box, or nil if there is none.
func (p *placements) find(box string) *shard.Placement {
	if placement, placed := p.byBox[box]; placed {
		return &placement
	}
	return nil
}

// followPlacements starts the feed of the planner's stream, unless it was started before. It does nothing while the
// claim that tells where this stream is, or a layout with more than one shard, isn't known.
func (n *Node) followPlacements() {
	claim, claimed := n.View().Claims[fleetCell]
	if n.state.followsPlacements || !claimed || !n.state.layout.Sharded() {
		return
	}
	n.state.followsPlacements = true
	stream := cellclaim.Stream(claim, n.options.Partitions)
	n.group.Go(func() error {
		feed.New(n.feedDeps(), feed.Options{
			Stream: stream, Pause: func() time.Duration { return placementReadInterval }, Period: n.registrationPeriod, Wake: n.wakePlacementFeed, NewestOnly: true,
			OnSnapshot: func(records []damsonwinch.Record, end int, requestedAt time.Time) {
				n.send(placementRecords{records: records, snapshot: true, end: end, requestedAt: requestedAt})
			},
			OnRecords: func(records []damsonwinch.Record, end int, requestedAt time.Time) {
				n.send(placementRecords{records: records, end: end, requestedAt: requestedAt})
			},
		}).Run(n.ctx)
		return nil
	})
}

// refreshPlacements makes the feed read the planner's stream at once. It doesn't block.
func (n *Node) refreshPlacements() {
	select {
	case n.wakePlacementFeed <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// applyPlacementRecords applies records of the planner's stream, and sends the owners their endpoints if lives
// have now been assigned to shards.
func (n *Node) applyPlacementRecords(m placementRecords) {
	for _, err := range n.state.placements.apply(m) {
		n.deps.Metrics.Add("placements_refused", 1)
		n.deps.Logger.WithError(err).Error("order of the planner not understood")
	}
	if n.assignShards() {
		n.publishLists(true)
		n.sendEndpoints(func(string) bool { return true })
	}
}

// assignShards assigns new lives of endpoints to their shards, and reports whether any has been assigned. Unless
// this node reads the registrations for others, it only considers pools of which it owns a cell. Each read of
// placements is a call to the store, and with 550 moves in 90 s the reads for all pools were a third of all
// calls of 27 nodes.
func (n *Node) assignShards() bool {
	pools := map[string]bool{}
	if n.endpointAccess.Load().serves {
		for _, pool := range poweredOnPools(n.state.configuration) {
			pools[pool] = true
		}
	}
	for cell := range *n.runners.Load() {
		pool, _ := shard.ParseCellName(cell)
		pools[pool] = true
	}
	assigned, waiting := n.state.registry.assignShards(n.state.layout, pools, &n.state.placements)
	if waiting {
		n.refreshPlacements()
	}
	return assigned
}
