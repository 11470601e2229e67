package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
)

// placementReadInterval is the time between two readings of where the planner has taken boxes. A new
// life of an endpoint that waits to be sorted has them read at once.
const placementReadInterval = 10 * time.Second

// placements are to which shards boxes have been taken, as read from the planner's stream.
type placements struct {
	byBox map[string]shard.Placement
	// nextOffset is the record that comes after those read, and readAt when the newest reading that
	// brought all there was had been asked for; zero for none.
	nextOffset int
	upToDateAt time.Time
}

// placementRecords are records of the planner's stream.
type placementRecords struct {
	records  []damsonwinch.Record
	snapshot bool
	// end is the number of the stream's next record.
	end         int
	requestedAt time.Time
}

func newPlacements() placements {
	return placements{byBox: map[string]shard.Placement{}}
}

// apply takes records, and returns which can't be read.
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

// find returns the newest placement find a box, nil for none.
func (p *placements) find(box string) *shard.Placement {
	if placement, placed := p.byBox[box]; placed {
		return &placement
	}
	return nil
}

// followPlacements has the planner's stream followed from when it is known where that is; a
// fleet in one shard never does.
func (n *Node) followPlacements() {
	claim, known := n.View().Claims[fleetCell]
	if n.state.followsPlacements || !known || !n.state.layout.Sharded() {
		return
	}
	n.state.followsPlacements = true
	stream := ownership.CellStream(claim, n.options.Partitions)
	n.group.Go(func() error {
		feed.New(n.feedDeps(), feed.Options{
			Stream: stream, Pause: func() time.Duration { return placementReadInterval }, Wanted: n.ownsPoolCell.Load, Wake: n.wakePlacementFeed, NewestOnly: true,
			Snapshot: func(records []damsonwinch.Record, end int, askedAt time.Time) {
				n.send(placementRecords{records: records, snapshot: true, end: end, requestedAt: askedAt})
			},
			Added: func(records []damsonwinch.Record, end int, askedAt time.Time) {
				n.send(placementRecords{records: records, end: end, requestedAt: askedAt})
			},
		}).Run(n.ctx)
		return nil
	})
}

// refreshPlacements has the planner's stream read at once.
func (n *Node) refreshPlacements() {
	select {
	case n.wakePlacementFeed <- struct{}{}:
	default:
		// It has been told already.
	}
}

func (n *Node) applyPlacementRecords(m placementRecords) {
	for _, err := range n.state.placements.apply(m) {
		n.deps.Metrics.Add("placements_refused", 1)
		n.deps.Logger.WithError(err).Error("order of the planner not understood")
	}
	if n.assignShards() {
		n.sendEndpoints(func(string) bool { return true })
	}
}

// assignShards sorts new lives of endpoints by their shards, and says whether any has been. Only
// the pools that are owned here count: each reading is a call to the store, and those for all
// pools cost a third of all calls of 27 nodes with 550 moves in 90 s.
func (n *Node) assignShards() bool {
	pools := map[string]bool{}
	for cell := range *n.runners.Load() {
		pool, _ := shard.ParseCellName(cell)
		pools[pool] = true
	}
	sorted, waiting := n.state.registry.assignShards(n.state.layout, pools, &n.state.placements)
	if waiting {
		n.refreshPlacements()
	}
	return sorted
}
