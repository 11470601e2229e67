package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/wire"
)

// oneBoxFleet has one box, whose endpoint has the same ID in each of its lives.
type oneBoxFleet struct {
	shardedFleet
	box damsonwinch.Box
}

// newOneBoxFleet returns a fleet whose one box is up in the pool "held", listed by the platform.
func newOneBoxFleet() *oneBoxFleet {
	f := &oneBoxFleet{shardedFleet: *newShardedFleet()}
	f.add("held", 1, 0)
	f.box = f.boxes[0]
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	return f
}

// list gives the planner a list of boxes that shows the box in a state, with its endpoint if it is up.
func (f *oneBoxFleet) list(state damsonwinch.BoxState) {
	f.box.State = state
	f.box.EndpointID = ""
	if state == damsonwinch.BoxUp {
		f.box.EndpointID = "at-" + f.box.Name
	}
	f.planner.SetBoxes(f.now, []damsonwinch.Box{f.box})
}

// report gives the planner a report of the cell's owner on the life that started at the given time.
func (f *oneBoxFleet) report(startedUnixMs int, withdrawn bool) {
	life := damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: startedUnixMs}
	f.planner.SetReport(f.now, "held", wire.SyncReply{Known: true, TaskMs: 1000, Endpoints: []wire.EndpointReport{{
		Endpoint: life.String(), Box: f.box.Name, Usable: !withdrawn, Withdrawn: withdrawn,
	}}})
}

// plan lets time pass and returns the orders that are due then.
func (f *oneBoxFleet) plan(after time.Duration) []boxplan.Order {
	f.now = f.now.Add(after)
	return f.planner.Plan(f.now)
}

// inheritMaintenance gives the planner a wave for the box, and an earlier planner's order to maintain it for the wave,
// which that planner knew to be accepted or not.
func (f *oneBoxFleet) inheritMaintenance(accepted bool) {
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1, BegunMs: int(f.now.UnixMilli()), Done: []string{f.box.Name}})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 60 * time.Second, Boxes: []string{f.box.Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Wave: 1, AtMs: int(f.now.UnixMilli()), Accepted: accepted, Endpoint: damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1}.String()})
}

// showLaterLife shows the box with a later life than the one whose order was inherited, and plans twice.
func (f *oneBoxFleet) showLaterLife() {
	f.list(damsonwinch.BoxUp)
	f.report(2, false)
	f.plan(100 * time.Millisecond)
	f.list(damsonwinch.BoxUp)
	f.plan(time.Second)
}

// maintain orders maintenance of the box, accepts the order as the platform does, and returns it.
func (f *oneBoxFleet) maintain(t *testing.T, wave, startedUnixMs int) boxplan.Order {
	order := f.orderMaintenance(t, wave, startedUnixMs)
	f.planner.HandleOrderResult(f.now, order, nil)
	return order
}

// orderMaintenance adds a wave for the box, plans until the maintenance is ordered, and returns the order. The life that it
// ends started at startedUnixMs.
func (f *oneBoxFleet) orderMaintenance(t *testing.T, wave, startedUnixMs int) boxplan.Order {
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: wave, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}})
	f.list(damsonwinch.BoxUp)
	f.report(startedUnixMs, false)
	var orders []boxplan.Order
	for range 30 {
		f.list(damsonwinch.BoxUp)
		f.report(startedUnixMs, len(f.planner.Directives("held").Withdraw) > 0)
		if orders = f.plan(300 * time.Millisecond); len(orders) > 0 {
			break
		}
	}
	assert.Equal(t, len(orders), 1, "wave %d", wave)
	return orders[0]
}

// TestMaintenanceIsCompletedWhenBoxReturnsWithSameEndpointID: the order counts as carried out once the
// list of boxes has shown the box in maintenance, or the owner of its cell has reported another life
// under the same ID.
func TestMaintenanceIsCompletedWhenBoxReturnsWithSameEndpointID(t *testing.T) {
	for name, comeBack := range map[string]func(f *oneBoxFleet){
		"listed in maintenance": func(f *oneBoxFleet) {
			f.list(damsonwinch.BoxMaintenance)
			f.plan(time.Second)
		},
		"never listed in maintenance": func(f *oneBoxFleet) {
			f.list(damsonwinch.BoxUp)
			f.report(2, false)
			f.plan(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOneBoxFleet()
			order := f.maintain(t, 1, 1)
			assert.Equal(t, order.Life, damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1})
			f.now = f.now.Add(3 * time.Second)
			comeBack(f)
			f.list(damsonwinch.BoxUp)
			f.plan(100 * time.Millisecond)
			assert.Equal(t, f.maintain(t, 2, 2).Wave, 2, "it can be maintained again")
		})
	}
}

// TestWithdrawalOfOneLifeDoesNotCountForTheNext: the next life under the same ID must be withdrawn
// itself before the box is maintained.
func TestWithdrawalOfOneLifeDoesNotCountForTheNext(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}})
	f.report(1, false)
	f.plan(0)
	f.list(damsonwinch.BoxUp)
	f.report(1, false)
	f.plan(300 * time.Millisecond)
	f.report(2, false)
	orders := f.plan(300 * time.Millisecond)
	assert.Equal(t, len(orders), 0, "%v", orders)
	assert.DeepEqual(t, f.planner.Directives("held").Withdraw, []string{damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 2}.String()})
}

// TestRecordedOrderIsNotSentForALaterLife guards against an order that ends a life with tasks: the life that was withdrawn
// for it has exited while the store was slow to record it.
func TestRecordedOrderIsNotSentForALaterLife(t *testing.T) {
	for name, restart := range map[string]func(f *oneBoxFleet){
		"reported": func(f *oneBoxFleet) {
			f.report(2, false)
		},
		"listed as down": func(f *oneBoxFleet) {
			f.list(damsonwinch.BoxDown)
			f.plan(100 * time.Millisecond)
			f.list(damsonwinch.BoxUp)
			f.report(2, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOneBoxFleet()
			order := f.orderMaintenance(t, 1, 1)
			assert.Assert(t, f.planner.HandleRecorded(order), "the life goes on")
			restart(f)
			f.plan(100 * time.Millisecond)
			assert.Assert(t, !f.planner.HandleRecorded(order))
			assert.Equal(t, f.maintain(t, 1, 2).Life.StartedUnixMs, 2, "the later life is withdrawn before the box is maintained")
		})
	}
}

// TestInheritedOrderIsSentWhileTheBoxIsDown guards against a move or maintenance that nobody completes: the box may be down
// because of the order that an earlier planner has sent, and which its successor repeats.
func TestInheritedOrderIsSentWhileTheBoxIsDown(t *testing.T) {
	f := newOneBoxFleet()
	f.inheritMaintenance(false)
	f.list(damsonwinch.BoxMaintenance)
	orders := f.plan(time.Minute)
	assert.Equal(t, len(orders), 1)
	assert.Assert(t, f.planner.HandleRecorded(orders[0]))
}
