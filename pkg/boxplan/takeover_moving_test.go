package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestBoxThatIsMovingCountsAfterATakeover guards against a new planner that takes a second box from another cell for the
// same need: the first one, ordered by the planner before it, is on its way, but counts for the cell that it has left.
func TestBoxThatIsMovingCountsAfterATakeover(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 2, 0)
	f.add("held", 1, 0)
	f.add("off", 1, 1)
	moving := &f.boxes[0]
	f.planner.LoadOrder(wire.OrderRecord{Box: moving.Name, Pool: "held", AtMs: int(f.now.UnixMilli()), Endpoint: moving.EndpointID, Placement: &wire.PlacementRecord{}})
	moving.State, moving.EndpointID = damsonwinch.BoxMoving, ""
	f.now = f.now.Add(200 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
	assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the box that the cell lacks is on its way: %v", f.planner.Summary())
}
