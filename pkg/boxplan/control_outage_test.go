package boxplan_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
)

// outageFleet is a fleet whose control of boxes is away since its boxes were listed. A cell of the pool "short" gives
// boxes to a cell of the pool "held".
type outageFleet struct {
	*shardedFleet
	short, held string
}

// newOutageFleet returns such a fleet, with boxes that are being withdrawn.
func newOutageFleet() *outageFleet {
	f := &outageFleet{shardedFleet: newShardedFleet(), short: shard.CellName("short", 0), held: shard.CellName("held", 0)}
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	f.planner.SetBoxes(f.now, f.boxes)
	f.plan(100 * time.Millisecond)
	return f
}

// plan lets time pass and plans without a list of boxes. Nothing answers the orders that it returns.
func (f *outageFleet) plan(after time.Duration) []boxplan.Order {
	f.now = f.now.Add(after)
	f.planner.SetReport(f.now, f.short, f.shortReport(0))
	f.planner.SetReport(f.now, f.held, f.backlog("held", 100))
	return f.planner.Plan(f.now)
}

// sendUnanswered has the endpoints withdrawn that are to be, and lets the calls with the orders on them time out.
func (f *outageFleet) sendUnanswered() []boxplan.Order {
	setAll(f.withdrawn, f.planner.Directives(f.short).WithdrawUrgently)
	orders := f.plan(100 * time.Millisecond)
	f.now = f.now.Add(800 * time.Millisecond)
	f.handleAll(orders, errNoAnswer)
	return orders
}

// TestUnansweredMoveIsTakenBackWhenItHasLapsed guards against endpoints that stay withdrawn for as long as control of
// boxes is silent, and against an order that is carried out on an endpoint in use again: the platform may carry out an
// unanswered call 15 s later.
func TestUnansweredMoveIsTakenBackWhenItHasLapsed(t *testing.T) {
	f := newOutageFleet()
	orders := f.sendUnanswered()
	assert.Assert(t, len(orders) > 0, "boxes are ordered away")
	for range 74 {
		assert.Equal(t, len(f.plan(200*time.Millisecond)), 0, "no order is repeated")
		assert.Equal(t, len(f.planner.Directives(f.short).Restore), 0, "orders may be carried out late")
	}
	f.plan(time.Second)
	assert.Equal(t, len(f.planner.Directives(f.short).Restore), len(orders))
	assert.Equal(t, len(f.planner.IssuedOrders()), 0)
}

// TestNoBoxIsWithdrawnWhileControlIsAway guards against endpoints that are withdrawn for orders which control of boxes
// doesn't take.
func TestNoBoxIsWithdrawnWhileControlIsAway(t *testing.T) {
	f := newOutageFleet()
	leaving := f.planner.Directives(f.short).WithdrawUrgently
	assert.Assert(t, len(leaving) >= 2, "%d boxes are on their way", len(leaving))
	f.withdrawn[leaving[0]] = true
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	f.now = f.now.Add(800 * time.Millisecond)
	f.planner.HandleOrderResult(f.now, orders[0], errNoAnswer)
	for range 5 {
		f.plan(100 * time.Millisecond)
		assert.Equal(t, len(f.planner.Directives(f.short).WithdrawUrgently), 0)
	}
	assert.Assert(t, strings.Contains(f.planner.Summary()[0], "control of boxes has not answered"), "operators are told")
	f.planner.SetBoxes(f.now.Add(time.Millisecond), f.boxes)
	f.plan(100 * time.Millisecond)
	assert.Assert(t, len(f.planner.Directives(f.short).WithdrawUrgently) > 0, "control is back")
}
