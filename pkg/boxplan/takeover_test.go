package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOwnBoxIsKeptAfterATakeover guards against a long-running task that waits beside an idle, withdrawn box of its cell
// until the platform takes orders again: the order on the box is that of an earlier planner, which no planner takes back.
func TestOwnBoxIsKeptAfterATakeover(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 2, 0)
	own := f.boxes[0]
	f.withdrawn[own.EndpointID] = true
	f.inheritMove(own, "off", 0)
	assert.Assert(t, f.isRestoredWhileRefused(), "the box isn't kept in 20 s: %v", f.planner.Summary())
}

// TestBoxThatIsMovingCountsAfterATakeover guards against a new planner that takes a second box from another cell for the
// same need: the first one, ordered by the planner before it, is on its way, but counts for the cell that it has left.
func TestBoxThatIsMovingCountsAfterATakeover(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 2, 0)
	f.add("held", 1, 0)
	f.add("off", 1, 1)
	moving := &f.boxes[0]
	f.inheritMove(*moving, "held", 0)
	moving.State, moving.EndpointID = damsonwinch.BoxMoving, ""
	f.now = f.now.Add(200 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
	assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the box that the cell lacks is on its way: %v", f.planner.Summary())
}

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

// TestOldRecordOnAWithdrawnLifeIsNotRepeated guards against a box that a new planner moves to a cell which doesn't need it:
// the move was taken back long ago, and the life has been withdrawn since for another reason.
func TestOldRecordOnAWithdrawnLifeIsNotRepeated(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 3, 0)
	f.add("held", 2, 0)
	own := f.boxes[0]
	f.inheritMove(own, "held", time.Hour)
	f.withdrawn[own.EndpointID] = true
	for range 50 {
		f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 1)})
		for _, order := range f.planShort(100*time.Millisecond, 0) {
			assert.Assert(t, order.Pool != "held", "the cell has enough boxes: %v", f.planner.Summary())
		}
	}
}

// TestOldMaintenanceOnAWithdrawnLifeIsNotRepeated guards against more boxes in maintenance than a wave allows: an earlier
// planner has taken back the maintenance of a box, whose life has been withdrawn since for another reason.
func TestOldMaintenanceOnAWithdrawnLifeIsNotRepeated(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 3, 0)
	kept, maintained := f.boxes[0], &f.boxes[1]
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1, BegunMs: int(f.now.Add(-time.Minute).UnixMilli()), Done: []string{maintained.Name}})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: time.Hour, Boxes: []string{kept.Name, maintained.Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: kept.Name, Wave: 1, AtMs: int(f.now.Add(-50 * time.Second).UnixMilli()), Endpoint: kept.EndpointID})
	f.withdrawn[kept.EndpointID] = true
	maintained.State, maintained.EndpointID = damsonwinch.BoxMaintenance, ""
	for range 20 {
		assert.Equal(t, len(f.planShort(100*time.Millisecond, 0)), 0, "the wave's only box down is in maintenance")
	}
}

// TestOldRecordOnABoxOfACellWithoutReportsIsNotWaitedFor guards against a long-running task that waits, after a takeover of
// the planner, for as long as another cell has no owner: an order that was taken back long ago has a box of that cell
// count for the task's cell, beside a powered-off box.
func TestOldRecordOnABoxOfACellWithoutReportsIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 2, 0)
	f.add("held", 1, 0)
	f.add("off", 1, 1)
	own := f.boxes[0]
	f.inheritMove(own, "held", time.Hour)
	ordered := 0
	for range 80 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		ordered += len(f.planner.Plan(f.now))
	}
	assert.Assert(t, ordered > 0, "no box is ordered within 8 s: %v", f.planner.Summary())
}

// TestInheritedMaintenanceOfAnEarlierLifeStaysDone guards against boxes that are withdrawn and maintained anew after each
// takeover of the planner: the recorded order has been carried out, and the later life that is in use has the same ID.
func TestInheritedMaintenanceOfAnEarlierLifeStaysDone(t *testing.T) {
	f := newOneBoxFleet()
	f.inheritMaintenance(true)
	f.showLaterLife()
	assert.DeepEqual(t, f.planner.WaveRecord(1).Done, []string{f.box.Name})
}

// TestBoxThatCrashesBeforeARecordedOrderIsSentIsDue guards against a wave that is reported as completed although a box has
// not been maintained: the earlier planner has recorded the order and not sent it, and the box has restarted by itself
// before its owner reports to the next planner.
func TestBoxThatCrashesBeforeARecordedOrderIsSentIsDue(t *testing.T) {
	f := newOneBoxFleet()
	f.inheritMaintenance(false)
	f.showLaterLife()
	assert.Assert(t, !f.planner.WaveRecord(1).Completed, "the box was never in maintenance")
	assert.Equal(t, len(f.planner.WaveRecord(1).Done), 0)
}

// TestBoxThatCrashesBeforeInheritedMaintenanceIsDue guards against a wave that is reported as completed although a box has
// not been maintained: the life for which an earlier planner recorded the order was still up, and the box crashed and came
// back before the order was repeated.
func TestBoxThatCrashesBeforeInheritedMaintenanceIsDue(t *testing.T) {
	f := newOneBoxFleet()
	f.inheritMaintenance(false)
	step := func(state damsonwinch.BoxState, startedUnixMs int, withdrawn bool) {
		f.now = f.now.Add(400 * time.Millisecond)
		f.list(state)
		if startedUnixMs > 0 {
			f.report(startedUnixMs, withdrawn)
		}
		assert.Equal(t, len(f.plan(100*time.Millisecond)), 0, "an order of the earlier planner may be on its way")
	}
	step(damsonwinch.BoxUp, 1, true)
	step(damsonwinch.BoxUp, 1, true)
	step(damsonwinch.BoxDown, 0, false)
	step(damsonwinch.BoxUp, 2, false)
	step(damsonwinch.BoxUp, 2, false)
	assert.Assert(t, !f.planner.WaveRecord(1).Completed, "the box was never in maintenance")
}

// TestRefusedMoveFromACellWithoutReportsIsNotWaitedFor guards against a long-running task that waits for as long as
// another cell has no owner: a box of that cell is ordered to the task's cell, the platform has refused the first call,
// and without a report that shows the life as withdrawn the order is not repeated. It goes on counting for the cell.
func TestRefusedMoveFromACellWithoutReportsIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	plan := func(after time.Duration, shortReports bool, answer error) (accepted int) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		if shortReports {
			f.planner.SetReport(f.now, short, f.shortReport(0))
		}
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, answer)
			if order.Pool == "held" && answer == nil {
				accepted++
			}
		}
		return accepted
	}
	for range 5 {
		plan(100*time.Millisecond, true, damsonwinch.ErrRefused)
		setAll(f.withdrawn, f.planner.Directives(short).WithdrawUrgently)
	}
	assert.Equal(t, len(f.planner.IssuedOrders()), 1, "a box is ordered to the cell, and the order refused")

	// The cell of the box has no owner now, and a box is powered off.
	f.add("off", 1, 1)
	accepted := 0
	for range 12 {
		plan(200*time.Millisecond, false, damsonwinch.ErrRefused)
	}
	for range 50 {
		accepted += plan(200*time.Millisecond, false, nil)
	}
	assert.Assert(t, accepted > 0, "the cell gets no box within 10 s")
}

// TestOddRowDoesNotCompleteInheritedMaintenance guards against a wave that is reported as completed although a box has not
// been maintained: a list shows the box with a state or an endpoint that can't be read, while its life goes on.
func TestOddRowDoesNotCompleteInheritedMaintenance(t *testing.T) {
	for _, odd := range []func(box *damsonwinch.Box){
		func(box *damsonwinch.Box) { box.State = "" },
		func(box *damsonwinch.Box) { box.EndpointID = "" },
	} {
		f := newOneBoxFleet()
		f.inheritMaintenance(false)
		for number := range 20 {
			f.now = f.now.Add(400 * time.Millisecond)
			f.box.State, f.box.EndpointID, f.box.Problem = damsonwinch.BoxUp, "at-"+f.box.Name, ""
			if number == 2 {
				odd(&f.box)
				f.box.Problem = "not a text"
			}
			f.planner.SetBoxes(f.now, []damsonwinch.Box{f.box})
			if number > 3 {
				f.report(1, true)
			}
			f.plan(100 * time.Millisecond)
			assert.Assert(t, !f.planner.WaveRecord(1).Completed, "list %d: the box was never in maintenance", number)
		}
	}
}
