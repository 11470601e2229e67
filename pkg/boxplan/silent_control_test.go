package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOwnBoxIsKeptWhileOrdersGetNoAnswer guards against a long-running task that waits for as long as the control of boxes
// is silent: a box is ordered for its cell without an answer, and meanwhile the cell's own boxes, whose withdrawal could
// be taken back, are emptied for another cell's backlog.
func TestOwnBoxIsKeptWhileOrdersGetNoAnswer(t *testing.T) {
	f := newShardedFleet()
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, ScaleDownDelay: time.Hour, TakeoverDelay: 3 * time.Second})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, f.layout)
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	f.add("off", 1, 1)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	plan := func(missing, running, backlog int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		report, leaving := f.shortReport(missing), f.leaving()
		for i := range report.Endpoints {
			report.Endpoints[i].Usable = !slices.Contains(leaving, report.Endpoints[i].Endpoint)
		}
		report.RunningCpu = running * scriptMilliCPU
		f.planner.SetReport(f.now, short, report)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: backlog * scriptMilliCPU, Endpoints: f.reports("held", 0)})
		handleAll(f, f.planner.Plan(f.now), errNoAnswer)
	}
	plan(1, 4, 0)
	assert.Equal(t, len(f.planner.IssuedOrders()), 1, "a box is ordered for the cell")
	for range 20 {
		plan(0, 0, 100)
	}
	leaving := len(f.leaving())
	assert.Assert(t, leaving > 0, "boxes are on their way to the backlog's cell")
	for range 60 {
		// A run of the cell has failed, and the short tasks on the boxes that leave go on.
		plan(1, 0, 100)
	}
	assert.Assert(t, len(f.leaving()) < leaving, "no box is kept within 6 s: %v", f.planner.Summary())
}
