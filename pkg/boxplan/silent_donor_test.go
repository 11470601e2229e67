package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestBoxOfACellThatStopsReportingIsNotWaitedFor guards against a long-running task that waits for as long as another cell
// has no owner: a box of that cell was chosen for the task's cell before, and counts for it, beside a powered-off box.
func TestBoxOfACellThatStopsReportingIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	plan := func(reports bool) (ordered int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		if reports {
			f.planner.SetReport(f.now, short, f.shortReport(0))
		}
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, nil)
			if order.Pool == "held" {
				ordered++
			}
		}
		return ordered
	}
	plan(true)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), 1, "a box is withdrawn for the cell")
	f.add("off", 1, 1)
	ordered := 0
	for range 150 {
		ordered += plan(false)
	}
	assert.Assert(t, ordered > 0, "no box is ordered within 15 s: %v", f.planner.Summary())
}
