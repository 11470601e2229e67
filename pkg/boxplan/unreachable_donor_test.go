package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestBoxOfACellWithoutReportsIsNotChosen guards against a long-running task that waits for as long as another cell has no
// owner: a box there that was to be powered off is chosen for the task's cell, since without a report it seems to be empty
// at once, and counts for the cell. No box of a cell with an owner is chosen.
func TestBoxOfACellWithoutReportsIsNotChosen(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	f.add("short", 6, 1)
	f.add("held", 1, 0)
	ownerless, donor, held := shard.CellName("short", 0), shard.CellName("short", 1), shard.CellName("held", 0)
	plan := func(missing int, reports bool) (chosen bool) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		all := f.shortReport(0)
		first, second := all, all
		isFirst := func(row wire.EndpointReport) bool { return f.layout.BoxShard(row.Box) == 0 }
		first.Endpoints = slices.DeleteFunc(slices.Clone(all.Endpoints), func(row wire.EndpointReport) bool { return !isFirst(row) })
		second.Endpoints = slices.DeleteFunc(slices.Clone(all.Endpoints), isFirst)
		// The boxes of the second cell are in use until they are chosen for another one.
		second.RunningCpu = 4 * scriptMilliCPU
		if reports {
			f.planner.SetReport(f.now, ownerless, first)
		}
		f.planner.SetReport(f.now, donor, second)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: missing, Endpoints: f.reports("held", 1)})
		f.planner.Plan(f.now)
		return len(f.planner.Directives(donor).WithdrawUrgently) > 0
	}
	for range 20 {
		plan(0, true)
	}
	assert.Assert(t, len(f.planner.Directives(ownerless).Withdraw) > 0, "boxes are to be powered off")
	for range 25 {
		plan(0, false)
	}
	for range 80 {
		if plan(1, false) {
			return
		}
	}
	t.Fatalf("no box that can be emptied is chosen within 8 s: %v", f.planner.Summary())
}
