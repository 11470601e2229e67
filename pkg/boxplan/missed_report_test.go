package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestRefusedOrderOutlastsAMissedReport guards against a long-running task that waits anew for a box which has been emptied
// for its cell: the owner of the box's cell once doesn't answer in time, and the box is given back and emptied again.
func TestRefusedOrderOutlastsAMissedReport(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	plan := func(report wire.SyncReply) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		report.RunningCpu = 4 * scriptMilliCPU
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		f.planner.SetReport(f.now, short, report)
		f.handleAll(f.planner.Plan(f.now), damsonwinch.ErrRefused)
	}
	for range 3 {
		plan(f.shortReport(0))
		setAll(f.withdrawn, f.planner.Directives(short).WithdrawUrgently)
	}
	assert.Equal(t, len(f.planner.IssuedOrders()), 1, "a withdrawn box is ordered for the cell, and the order refused")
	plan(wire.SyncReply{})
	plan(f.shortReport(0))
	assert.Equal(t, len(f.planner.Directives(short).Restore), 0, "the box is given back: %v", f.planner.IssuedOrders())
}
