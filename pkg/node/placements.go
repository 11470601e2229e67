package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/ownership"
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
	// read that returned all remaining records was sent, or zero if there has been none.
	nextOffset int
	upToDateAt time.Time
}

// placementRecords are records of the planner's stream.
type placementRecords struct {
	records  []damsonwinch.Record
	snapshot bool
	// end is the offset that the stream's next record will get.
	end         int
	requestedAt time.Time
}

func newPlacements() placements {
	return placements{byBox: map[string]shard.Placement{}}
}

// apply applies records and returns an error for each one that is invalid.
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

// find returns the placement of the newest order on a box, or nil if there has been none.
func (p *placements) find(box string) *shard.Placement {
	if placement, placed := p.byBox[box]; placed {
		return &placement
	}
	return nil
}

// followPlacements starts to follow the planner's stream, unless it has been started, once it is known where that
// stream is and that the layout has more than one shard.
func (n *Node) followPlacements() {
	claim, claimed := n.View().Claims[fleetCell]
	if n.state.followsPlacements || !claimed || !n.state.layout.Sharded() {
		return
	}
	n.state.followsPlacements = true
	stream := ownership.CellStream(claim, n.options.Partitions)
	n.group.Go(func() error {
		feed.New(n.feedDeps(), feed.Options{
			Stream: stream, Pause: func() time.Duration { return placementReadInterval }, Wanted: n.ownsPoolCell.Load, Wake: n.wakePlacementFeed, NewestOnly: true,
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

// applyPlacementRecords applies records of the planner's stream and sends the owners their endpoints if some now
// have a shard.
func (n *Node) applyPlacementRecords(m placementRecords) {
	for _, err := range n.state.placements.apply(m) {
		n.deps.Metrics.Add("placements_refused", 1)
		n.deps.Logger.WithError(err).Error("order of the planner not understood")
	}
	if n.assignShards() {
		n.sendEndpoints(func(string) bool { return true })
	}
}

// assignShards assigns new lives of endpoints to their shards, and reports whether any has been assigned. It only
// considers pools of which this node owns a cell. Each read of placements is a call to the store, and with
// 550 moves in 90 s the reads for all pools were a third of all calls of 27 nodes.
func (n *Node) assignShards() bool {
	pools := map[string]bool{}
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
