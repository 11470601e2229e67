package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestMoveOvertakenByAnEarlierOneIsOver guards against a cell that counts a box for good which never comes: the
// platform has moved it to the cell's pool, and then to another one by a late copy of an earlier order.
func TestMoveOvertakenByAnEarlierOneIsOver(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 1)
	orders := f.planShort(0, 1)
	assert.Assert(t, len(orders) > 0)
	f.handleAll(orders, nil)
	for i := range f.boxes {
		f.boxes[i].State = damsonwinch.BoxMoving
	}
	f.planShort(400*time.Millisecond, 1)
	for i := range f.boxes {
		f.boxes[i].State, f.boxes[i].Pool, f.boxes[i].EndpointID = damsonwinch.BoxUp, "held", "elsewhere-"+f.boxes[i].Name
	}
	for range 5 {
		f.planShort(time.Second, 1)
	}
	assert.Equal(t, len(f.planner.IssuedOrders()), 0)
}

// refuseMaintenance has the box's first life withdrawn for its maintenance, and the platform refuse the order.
func (f *oneBoxFleet) refuseMaintenance(t *testing.T) {
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}})
	f.report(1, false)
	f.plan(0)
	f.report(1, true)
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	f.planner.HandleOrderResult(f.now, orders[0], damsonwinch.ErrRefused)
}

// TestRefusedOrderDoesNotEndALaterLife guards against an order that ends the runs of a life not withdrawn for it: the
// platform has taken no order for a while, and meanwhile the box has crashed and come back.
func TestRefusedOrderDoesNotEndALaterLife(t *testing.T) {
	f := newOneBoxFleet()
	f.refuseMaintenance(t)
	f.list(damsonwinch.BoxDown)
	f.now = f.now.Add(time.Second)
	f.list(damsonwinch.BoxUp)
	f.report(2, false)
	assert.Equal(t, len(f.plan(time.Second)), 0, "the later life is not withdrawn")
}

// TestBoxThatIsDownIsNotWaitedFor guards against a long-running task that waits for as long as a box is down: the
// box had been ordered into the task's cell and crashed, and another box was powered off.
func TestBoxThatIsDownIsNotWaitedFor(t *testing.T) {
	for name, answer := range map[string]error{"after the move": nil, "after a lost answer": errNoAnswer} {
		t.Run(name, func(t *testing.T) {
			f := newShardedFleet()
			f.add("off", 2, 1)
			orders := f.planShort(0, 1)
			assert.Equal(t, len(orders), 1)
			f.planner.HandleOrderResult(f.now, orders[0], answer)
			for i := range f.boxes {
				if f.boxes[i].Name == orders[0].Box {
					f.boxes[i].State = damsonwinch.BoxDown
				}
			}
			var others []string
			for _, order := range f.planShort(time.Second, 1) {
				if order.Box != orders[0].Box {
					others = append(others, order.Box)
				}
			}
			assert.Equal(t, len(others), 1, "the other powered-off box is ordered")
		})
	}
}

// TestInheritedOrderDoesNotEndALaterLifeWithItsID guards against a recorded order that a new planner repeats before it
// has heard that a later life under the same ID is in use.
func TestInheritedOrderDoesNotEndALaterLifeWithItsID(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Pool: "short", AtMs: int(f.now.UnixMilli()), Endpoint: damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1}.String()})
	f.list(damsonwinch.BoxUp)
	assert.Equal(t, len(f.plan(10*time.Second)), 0, "the owner of the cell has not reported yet")
	f.report(2, false)
	assert.Equal(t, len(f.plan(time.Second)), 0, "a later life is in use")
	assert.Equal(t, len(f.planner.IssuedOrders()), 0)
}

// TestOrderIsNotRepeatedOnALifeInUseAgain guards against an order that ends the runs of a life whose owner has lost
// its withdrawal.
func TestOrderIsNotRepeatedOnALifeInUseAgain(t *testing.T) {
	f := newOneBoxFleet()
	f.refuseMaintenance(t)
	f.report(1, false)
	assert.Equal(t, len(f.plan(time.Second)), 0)
	f.report(1, true)
	assert.Equal(t, len(f.plan(time.Second)), 1, "it is withdrawn and ordered again")
}

// TestRecordedMoveLeavesALifeInUseAlone guards against a box that its cell can't use any more: an earlier planner recorded
// a move of the box and took it back, a long-running task has started there since, and a new planner has the box
// withdrawn for the move.
func TestRecordedMoveLeavesALifeInUseAlone(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Pool: "short", AtMs: int(f.now.UnixMilli()), Endpoint: damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1}.String()})
	f.list(damsonwinch.BoxUp)
	f.plan(10 * time.Second)
	f.report(1, false)
	assert.Equal(t, len(f.plan(time.Second)), 0)
	directives := f.planner.Directives("held")
	assert.Equal(t, len(directives.Withdraw)+len(directives.WithdrawUrgently), 0)
	assert.Equal(t, len(f.planner.IssuedOrders()), 0)
}
