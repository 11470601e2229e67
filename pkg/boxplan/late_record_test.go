package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
)

// TestOrderThatWasRecordedLateIsNotTakenForOutdated guards against a move that is carried out on an endpoint in use again: the
// store was slow, so that an order was sent long after the time in its record, and the next planner takes it for outdated while
// the platform may still carry it out. That may be for 15 s after it was sent.
func TestOrderThatWasRecordedLateIsNotTakenForOutdated(t *testing.T) {
	f := newOutageFleet()
	setAll(f.withdrawn, f.planner.Directives(f.short).WithdrawUrgently)
	orders := f.plan(100 * time.Millisecond)
	assert.Assert(t, len(orders) > 0, "boxes are ordered away")
	order, record := orders[0], orders[0].Record(f.now)
	for range 300 {
		f.planner.SetBoxes(f.now, f.boxes)
		f.plan(100 * time.Millisecond)
	}
	assert.Assert(t, f.planner.HandleRecorded(order), "the order is sent")
	lapsesAt := f.now.Add(15 * time.Second)

	next := newShardedFleet()
	next.boxes, next.withdrawn, next.now = f.boxes, f.withdrawn, f.now.Add(time.Second)
	next.planner.LoadOrder(record)
	for next.now.Before(lapsesAt) {
		next.planShort(100*time.Millisecond, 0)
		restored := next.planner.Directives(shard.CellName("short", 0)).Restore
		assert.Assert(t, !slices.Contains(restored, order.Life.String()), "it may be carried out for another %v", lapsesAt.Sub(next.now))
	}
}
