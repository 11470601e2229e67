package node

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/planner"
	"damsonwinch/pkg/shard"
)

// placementPause is the time between two readings of where the planner has taken boxes. A new
// life of an endpoint that waits to be sorted has them read at once.
const placementPause = 10 * time.Second

// placements are to which shards boxes have been taken, as read from the planner's stream.
type placements struct {
	byBox map[string]shard.Placement
	// next is the record that comes after those read, and readAt when the newest reading that
	// brought all there was had been asked for; zero for none.
	next   int
	readAt time.Time
}

// placementRecords are records of the planner's stream.
type placementRecords struct {
	records  []damsonwinch.Record
	snapshot bool
	// end is the number of the stream's next record.
	end     int
	askedAt time.Time
}

func newPlacements() placements {
	return placements{byBox: map[string]shard.Placement{}}
}

// take takes records, and returns which can't be read.
func (p *placements) take(m placementRecords) (refused []error) {
	if m.snapshot {
		clear(p.byBox)
		p.next = m.end
	} else {
		p.next += len(m.records)
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
	if p.next >= m.end {
		p.readAt = m.askedAt
	}
	return refused
}

// of returns the newest placement of a box, nil for none.
func (p *placements) of(box string) *shard.Placement {
	if placement, placed := p.byBox[box]; placed {
		return &placement
	}
	return nil
}

// needPlacements has the planner's stream followed from when it is known where that is; a
// fleet in one shard never does.
func (n *Node) needPlacements() {
	claim, known := n.View().Claims[fleetCell]
	if n.state.placing || !known || !n.state.layout.Sharded() {
		return
	}
	n.state.placing = true
	stream := ownership.CellStream(claim, n.options.Partitions)
	n.group.Go(func() error {
		feed.New(n.feedDeps(), feed.Options{
			Stream: stream, Pause: func() time.Duration { return placementPause }, Wanted: n.owning.Load, Wake: n.place, NewestOnly: true,
			OnSnapshot: func(records []damsonwinch.Record, end int, askedAt time.Time) {
				n.send(placementRecords{records: records, snapshot: true, end: end, askedAt: askedAt})
			},
			OnRecords: func(records []damsonwinch.Record, end int, askedAt time.Time) {
				n.send(placementRecords{records: records, end: end, askedAt: askedAt})
			},
		}).Run(n.ctx)
		return nil
	})
}

// readPlacements has the planner's stream read at once.
func (n *Node) readPlacements() {
	select {
	case n.place <- struct{}{}:
	default:
		// It has been told already.
	}
}

func (n *Node) takePlacements(m placementRecords) {
	for _, err := range n.state.placements.take(m) {
		n.deps.Metrics.Add("placements_refused", 1)
		n.deps.Logger.WithError(err).Error("order of the planner not understood")
	}
	if n.sortLives() {
		n.tellEndpoints(func(string) bool { return true })
	}
}

// sortLives sorts new lives of endpoints by their shards, and says whether any has been. Only
// the pools that are owned here count: each reading is a call to the store, and those for all
// pools cost a third of all calls of 27 nodes with 550 moves in 90 s.
func (n *Node) sortLives() bool {
	pools := map[string]bool{}
	for cell := range *n.holdings.Load() {
		pool, _ := shard.ParseCellName(cell)
		pools[pool] = true
	}
	sorted, waiting := n.state.registry.sort(n.state.layout, pools, &n.state.placements)
	if waiting {
		n.readPlacements()
	}
	return sorted
}
