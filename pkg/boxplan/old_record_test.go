package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOldRecordOnAPoweredOffBoxIsNotRepeated guards against boxes that a new planner moves to cells which don't need them:
// an earlier planner recorded the orders, the platform refused them, and they were taken back long ago.
func TestOldRecordOnAPoweredOffBoxIsNotRepeated(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 0)
	f.add("off", 3, 1)
	for _, b := range f.boxes[2:] {
		f.planner.LoadOrder(wire.OrderRecord{Box: b.Name, Pool: "held", AtMs: int(f.now.Add(-time.Hour).UnixMilli()), Placement: &wire.PlacementRecord{}})
	}
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 1)})
		assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the cell needs none of the boxes: %v", f.planner.Summary())
	}
}
