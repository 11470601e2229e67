package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
)

// handleAll gives the planner the same answer to some orders.
func handleAll(f *shardedFleet, orders []boxplan.Order, answer error) {
	for _, order := range orders {
		f.planner.HandleOrderResult(f.now, order, answer)
	}
}

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
		handleAll(f, f.planShort(time.Second, 0), errNoAnswer)
		setAll(f.withdrawn, f.leaving())
	}
	assert.Assert(t, len(f.planner.IssuedOrders()) > 0, "boxes are to be powered off")
	assert.Assert(t, f.isRestoredWhileRefused(), "no box is kept in 20 s: %v", f.planner.Summary())
}
