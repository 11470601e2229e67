package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestPlannerWithoutAListRestoresEndpoints guards against endpoints that an earlier planner has had withdrawn and that
// stay so, idle beside waiting tasks, for as long as the planner that has taken over gets no list of boxes.
func TestPlannerWithoutAListRestoresEndpoints(t *testing.T) {
	f := newShardedFleet()
	name, life := shard.CellName("held", 0), damsonwinch.Life{ID: "at-box", StartedUnixMs: 1}.String()
	f.planner.SetReport(f.now, name, wire.SyncReply{Known: true, Endpoints: []wire.EndpointReport{{Endpoint: life, Box: "box", Withdrawn: true}}})
	assert.DeepEqual(t, f.planner.Directives(name).Restore, []string{life})
}

// TestStalledJobsKeepABoxThatItsNextCellCanSpare guards against late jobs of which nothing runs beside an idle box of
// their cell: it is withdrawn for another cell, which needs it no more, and the platform refuses the order.
func TestStalledJobsKeepABoxThatItsNextCellCanSpare(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	short := shard.CellName("short", 0)
	idle := wire.SyncReply{Known: true, Endpoints: f.reports("held", 0)}
	backlog := f.backlog("held", 100)
	f.planBothRefused(time.Minute, f.shortReport(0), backlog)
	setAll(f.withdrawn, f.planner.Directives(short).WithdrawUrgently)
	withdrawn := len(f.withdrawn)
	assert.Assert(t, withdrawn >= 2, "%d boxes are on their way to the backlog's cell", withdrawn)
	f.planBothRefused(100*time.Millisecond, f.shortReport(0), backlog)
	assert.Equal(t, len(f.planner.IssuedOrders()), withdrawn)

	stalled := f.shortReport(0)
	stalled.LateCpu, stalled.StalledCpu = 6*scriptMilliCPU, 6*scriptMilliCPU
	for range 5 {
		f.planBothRefused(100*time.Millisecond, stalled, idle)
	}
	assert.Assert(t, len(f.planner.Directives(short).Restore) >= withdrawn-1, "the other cell needs one box at most")
}

// TestPlannerWithoutAListLeavesOrderedEndpointsAlone guards against an order of an earlier planner that is carried out
// on an endpoint which a planner without a list has restored.
func TestPlannerWithoutAListLeavesOrderedEndpointsAlone(t *testing.T) {
	for text, restored := range map[string]int{"at-box@1": 0, "at-box": 0, "at-box@2": 1, "at-other@1": 1} {
		t.Run(text, func(t *testing.T) {
			f := newShardedFleet()
			name := shard.CellName("held", 0)
			f.planner.LoadOrder(wire.OrderRecord{Box: "box", Pool: "short", AtMs: int(f.now.UnixMilli()), Endpoint: text})
			f.planner.SetReport(f.now, name, wire.SyncReply{Known: true, Endpoints: []wire.EndpointReport{{Endpoint: "at-box@1", Box: "box", Withdrawn: true}}})
			assert.Equal(t, len(f.planner.Directives(name).Restore), restored)
		})
	}
}

// TestNoOrderOnAnEndpointRestoredWithoutAList guards against an order on a life that is in use again: a planner without a
// list has had it restored, and the report that it has is older than that.
func TestNoOrderOnAnEndpointRestoredWithoutAList(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 1, 0)
	name := shard.CellName("held", 0)
	reply := wire.SyncReply{Known: true, Endpoints: f.reports("held", 0)}
	reply.Endpoints[0].Usable, reply.Endpoints[0].Withdrawn = false, true
	f.planner.SetReport(f.now, name, reply)
	assert.Equal(t, len(f.planner.Directives(name).Restore), 1)
	f.planner.SetBoxes(f.now, f.boxes)
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.boxes[0].Name}})
	for range 3 {
		f.now = f.now.Add(100 * time.Millisecond)
		assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the report doesn't follow the withdrawal")
	}
	assert.Equal(t, len(f.planner.Directives(name).Withdraw), 1)
	f.planner.SetReport(f.now, name, reply)
	assert.Equal(t, len(f.planner.Plan(f.now.Add(100*time.Millisecond))), 1)
}

// TestPlannerWithoutAListRestoresOrderedEndpointsOnceOrdersLapse guards against endpoints that stay withdrawn for as long as
// control of boxes is away, because an earlier planner has recorded orders on them, and against such an order being
// repeated on a life in use once there is a list.
func TestPlannerWithoutAListRestoresOrderedEndpointsOnceOrdersLapse(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 1, 0)
	name := shard.CellName("held", 0)
	f.planner.LoadOrder(wire.OrderRecord{Box: f.boxes[0].Name, Pool: "short", AtMs: int(f.now.UnixMilli()), Endpoint: f.boxes[0].EndpointID})
	reply := wire.SyncReply{Known: true, Endpoints: f.reports("held", 0)}
	reply.Endpoints[0].Usable, reply.Endpoints[0].Withdrawn = false, true
	for range 15 {
		f.planner.SetReport(f.now, name, reply)
		assert.Equal(t, len(f.planner.Directives(name).Restore), 0, "the order may be on its way")
		f.now = f.now.Add(time.Second)
	}
	f.now = f.now.Add(time.Second)
	f.planner.SetReport(f.now, name, reply)
	assert.Equal(t, len(f.planner.Directives(name).Restore), 1)
	for range 5 {
		f.now = f.now.Add(time.Second)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, name, reply)
		assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the life is in use again")
		f.planner.Directives(name)
	}
}
