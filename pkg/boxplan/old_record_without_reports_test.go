package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOldRecordOnABoxOfACellWithoutReportsIsNotWaitedFor guards against a long-running task that waits, after a takeover of
// the planner, for as long as another cell has no owner: an order that was taken back long ago has a box of that cell
// count for the task's cell, beside a powered-off box.
func TestOldRecordOnABoxOfACellWithoutReportsIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 2, 0)
	f.add("held", 1, 0)
	f.add("off", 1, 1)
	own := f.boxes[0]
	f.planner.LoadOrder(wire.OrderRecord{Box: own.Name, Pool: "held", AtMs: int(f.now.Add(-time.Hour).UnixMilli()), Endpoint: own.EndpointID, Placement: &wire.PlacementRecord{}})
	ordered := 0
	for range 80 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		ordered += len(f.planner.Plan(f.now))
	}
	assert.Assert(t, ordered > 0, "no box is ordered within 8 s: %v", f.planner.Summary())
}
