package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// TestOneRefusedOrderIsNoOutageWhileListsAreSlow guards against boxes that are given back and withdrawn anew: each list
// takes over 1 s, and the platform refuses one order while no other is due.
func TestOneRefusedOrderIsNoOutageWhileListsAreSlow(t *testing.T) {
	const listTime = 1200 * time.Millisecond
	f := newOutageFleet()
	leaving := f.planner.Directives(f.short).WithdrawUrgently
	assert.Assert(t, len(leaving) >= 2, "%d boxes are on their way", len(leaving))
	// A list has just arrived.
	f.now = f.now.Add(listTime)
	f.planner.SetBoxes(f.now.Add(-listTime), f.boxes)
	f.withdrawn[leaving[0]] = true
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	f.planner.HandleOrderResult(f.now, orders[0], damsonwinch.ErrRefused)
	f.plan(100 * time.Millisecond)
	restored := f.planner.Directives(f.short).Restore
	assert.Equal(t, len(restored), 0, "the refused order is repeated")
	assert.Equal(t, len(f.planner.Directives(f.short).WithdrawUrgently), len(leaving)-1, "the other boxes are still on their way")
}
