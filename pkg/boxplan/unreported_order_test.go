package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

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
