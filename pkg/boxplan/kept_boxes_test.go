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

// isRestoredWhileRefused lets 20 s pass, in which the platform refuses all orders and a cell lacks a box for a long-running
// task. It reports whether an endpoint of the cell is restored.
func (f *shardedFleet) isRestoredWhileRefused() bool {
	for range 200 {
		f.planRefused(100*time.Millisecond, 1)
		if len(f.planner.Directives(shard.CellName("short", 0)).Restore) > 0 {
			return true
		}
	}
	return false
}

// TestOwnBoxIsKeptOnceAnUnansweredOrderIsTooOld guards against a long-running task that waits beside an idle, withdrawn box
// of its cell until the platform takes orders again: one call without an answer makes the order on the box irrevocable for
// good, although the call can't be carried out any more.
func TestOwnBoxIsKeptOnceAnUnansweredOrderIsTooOld(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	for range 4 {
		f.handleAll(f.planShort(time.Second, 0), errNoAnswer)
		setAll(f.withdrawn, f.leaving())
	}
	assert.Assert(t, len(f.planner.IssuedOrders()) > 0, "boxes are to be powered off")
	assert.Assert(t, f.isRestoredWhileRefused(), "no box is kept in 20 s: %v", f.planner.Summary())
}

// TestCellKeepsBoxesThatWereOrderedAwayForAnother guards against a planner that crashes: a cell keeps boxes whose orders to
// another cell the platform refuses, and the other cell keeps boxes of its own in the same plan.
func TestCellKeepsBoxesThatWereOrderedAwayForAnother(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 6, 0)
	f.add("short", 4, 0)
	f.add("off", 1, 1)
	held, short := shard.CellName("held", 0), shard.CellName("short", 0)
	plan := func(missing, backlog int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: missing, Endpoints: f.reports("held", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn = f.withdrawn[row.Endpoint]
			row.Usable = !row.Withdrawn
		}
		f.planner.SetReport(f.now, held, report)
		needs := f.shortReport(0)
		needs.WaitingCpu = backlog * scriptMilliCPU
		f.planner.SetReport(f.now, short, needs)
		f.handleAll(f.planner.Plan(f.now), damsonwinch.ErrRefused)
		setAll(f.withdrawn, f.planner.Directives(held).WithdrawUrgently)
	}
	for range 5 {
		plan(0, 100)
	}
	ordered := 0
	for _, order := range f.planner.IssuedOrders() {
		if order.Pool == "short" {
			ordered++
		}
	}
	assert.Assert(t, ordered >= 2, "boxes of the first cell are ordered to the second: %d", ordered)
	for range 60 {
		plan(0, 0)
	}
	assert.Assert(t, len(f.planner.Directives(short).Withdraw) > 0, "boxes of the second cell are to be powered off: %v", f.planner.Summary())
	for range 3 {
		plan(3, 0)
	}
}

// TestBoxIsKeptWhileOrdersAreRefused guards against a long-running task that waits beside a withdrawn box of its cell for
// as long as the platform refuses orders: their repetitions use up the pace of orders, without which no box is kept
// either, although that needs no order.
func TestBoxIsKeptWhileOrdersAreRefused(t *testing.T) {
	const perSecond = 10
	f := newShardedFleet()
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second, OrdersPerSecond: perSecond, PowerOffsPerSecond: perSecond})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, f.layout)
	f.add("short", 4, 0)
	f.add("held", 1, 0)
	f.add("off", 2*perSecond, 1)
	plan := func(missing, backlog int) (restored int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, shard.CellName("short", 0), f.shortReport(missing))
		f.planner.SetReport(f.now, shard.CellName("held", 0), f.backlog("held", backlog))
		f.handleAll(f.planner.Plan(f.now), damsonwinch.ErrRefused)
		setAll(f.withdrawn, f.planner.Directives(shard.CellName("short", 0)).Withdraw)
		return len(f.planner.Directives(shard.CellName("short", 0)).Restore)
	}
	for range 30 {
		plan(0, 0)
	}
	assert.Assert(t, len(f.withdrawn) > 0, "boxes are to be powered off")
	for range 20 {
		plan(0, 100)
	}
	restored := 0
	for range 50 {
		restored = max(restored, plan(1, 100))
	}
	assert.Assert(t, restored > 0, "no box is kept within 5 s")
}

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
	backlog := f.backlog("held", 100)
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
	short := shard.CellName("short", 0)
	idle := f.shortReport(0)
	withoutWork := wire.SyncReply{Known: true, Endpoints: f.reports("held", 0)}
	backlog := f.backlog("held", 100)
	needy := idle
	needy.MissingBoxes = 1
	f.planBothRefused(time.Minute, needy, withoutWork)
	assert.Assert(t, len(f.planner.IssuedOrders()) == 1, "a box is ordered for the cell")
	f.planBothRefused(100*time.Millisecond, idle, backlog)
	leaving := f.planner.Directives(short).WithdrawUrgently
	assert.Assert(t, len(leaving) > 0, "boxes are on their way to the backlog's cell")
	needy.Endpoints = slices.Clone(idle.Endpoints)
	for i := range needy.Endpoints {
		needy.Endpoints[i].Usable = !slices.Contains(leaving, needy.Endpoints[i].Endpoint)
	}
	f.planBothRefused(400*time.Millisecond, needy, backlog)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), len(leaving)-1, "one box is kept")
}

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
		f.planner.SetReport(f.now, held, f.backlog("held", backlog))
		f.handleAll(f.planner.Plan(f.now), errNoAnswer)
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
