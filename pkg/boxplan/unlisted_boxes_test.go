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
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	plan := func(after time.Duration, shortReport, heldReport wire.SyncReply) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, short, shortReport)
		f.planner.SetReport(f.now, held, heldReport)
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, damsonwinch.ErrRefused)
		}
	}
	idle := wire.SyncReply{Known: true, Endpoints: f.reports("held", 0)}
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 100 * scriptMilliCPU, Endpoints: f.reports("held", 0)}
	plan(time.Minute, f.shortReport(0), backlog)
	setAll(f.withdrawn, f.planner.Directives(short).WithdrawUrgently)
	withdrawn := len(f.withdrawn)
	assert.Assert(t, withdrawn >= 2, "%d boxes are on their way to the backlog's cell", withdrawn)
	plan(100*time.Millisecond, f.shortReport(0), backlog)
	assert.Equal(t, len(f.planner.IssuedOrders()), withdrawn)

	stalled := f.shortReport(0)
	stalled.LateCpu, stalled.StalledCpu = 6*scriptMilliCPU, 6*scriptMilliCPU
	for range 5 {
		plan(100*time.Millisecond, stalled, idle)
	}
	assert.Assert(t, len(f.planner.Directives(short).Restore) >= withdrawn-1, "the other cell needs one box at most")
}
