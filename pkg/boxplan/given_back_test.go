package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestRefusedPowerOffIsTakenBack guards against a cell that waits for a box to be moved to it while one of its own
// is withdrawn and idle, because the platform refuses the order to power it off.
func TestRefusedPowerOffIsTakenBack(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	f.add("off", 1, 1)
	name := shard.CellName("short", 0)
	for range 4 {
		f.planRefused(time.Second, 0)
		setAll(f.withdrawn, f.leaving())
	}
	assert.Assert(t, len(f.planner.IssuedOrders()) > 0, "boxes are to be powered off")
	assert.Assert(t, !slices.Contains(f.planRefused(100*time.Millisecond, 1), "short"), "no box has to be moved")
	assert.Equal(t, len(f.planner.Directives(name).Restore), 1)
}

// TestBoxOnItsWayElsewhereIsKeptForLongRunningTasks guards against a long-running task that waits for a box of
// another pool, while a box of its own cell is being emptied for another cell's backlog.
func TestBoxOnItsWayElsewhereIsKeptForLongRunningTasks(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 100 * scriptMilliCPU, Endpoints: f.reports("held", 0)}
	f.planner.SetReport(f.now, held, backlog)
	idle := f.shortReport(0)
	f.planner.SetReport(f.now, short, idle)
	f.planner.Plan(f.now)
	leaving := f.planner.Directives(short).WithdrawUrgently
	assert.Assert(t, len(leaving) > 0, "boxes are on their way to the backlog's cell")

	f.now = f.now.Add(200 * time.Millisecond)
	for i := range idle.Endpoints {
		row := &idle.Endpoints[i]
		row.Usable = !slices.Contains(leaving, row.Endpoint)
	}
	idle.MissingBoxes = 1
	f.planner.SetReport(f.now, short, idle)
	f.planner.Plan(f.now)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), len(leaving)-1, "one box is kept")
}

// TestOwnBoxIsKeptWhileOrderedBoxesAreDelayed guards against a long-running task that waits beside idle boxes of its
// cell: they are withdrawn for another pool, and boxes that count for the cell are ordered, but the platform takes
// fewer orders than there are.
func TestOwnBoxIsKeptWhileOrderedBoxesAreDelayed(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	f.add("off", 1, 1)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	idle := f.shortReport(0)
	plan := func(after time.Duration, shortReport, heldReport wire.SyncReply) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, short, shortReport)
		f.planner.SetReport(f.now, held, heldReport)
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, damsonwinch.ErrRefused)
		}
	}
	withoutWork := wire.SyncReply{Known: true, Endpoints: f.reports("held", 0)}
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 100 * scriptMilliCPU, Endpoints: f.reports("held", 0)}
	needy := idle
	needy.MissingBoxes = 1
	plan(time.Minute, needy, withoutWork)
	assert.Assert(t, len(f.planner.IssuedOrders()) == 1, "a box is ordered for the cell")
	plan(100*time.Millisecond, idle, backlog)
	leaving := f.planner.Directives(short).WithdrawUrgently
	assert.Assert(t, len(leaving) > 0, "boxes are on their way to the backlog's cell")
	needy.Endpoints = slices.Clone(idle.Endpoints)
	for i := range needy.Endpoints {
		needy.Endpoints[i].Usable = !slices.Contains(leaving, needy.Endpoints[i].Endpoint)
	}
	plan(400*time.Millisecond, needy, backlog)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), len(leaving)-1, "one box is kept")
}
