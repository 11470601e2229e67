package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOldRecordOnAWithdrawnLifeIsNotRepeated guards against a box that a new planner moves to a cell which doesn't need it:
// the move was taken back long ago, and the life has been withdrawn since for another reason.
func TestOldRecordOnAWithdrawnLifeIsNotRepeated(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 3, 0)
	f.add("held", 2, 0)
	own := f.boxes[0]
	f.planner.LoadOrder(wire.OrderRecord{Box: own.Name, Pool: "held", AtMs: int(f.now.Add(-time.Hour).UnixMilli()), Endpoint: own.EndpointID, Placement: &wire.PlacementRecord{}})
	f.withdrawn[own.EndpointID] = true
	for range 50 {
		f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 1)})
		for _, order := range f.planShort(100*time.Millisecond, 0) {
			assert.Assert(t, order.Pool != "held", "the cell has enough boxes: %v", f.planner.Summary())
		}
	}
}
