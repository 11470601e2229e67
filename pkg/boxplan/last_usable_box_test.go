package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestCellKeepsItsOnlyUsableBoxWhileOthersCome guards against a cell without any usable box: boxes that are
// on their way to it counted as boxes that it can spare, so that it gave away the one that it used.
func TestCellKeepsItsOnlyUsableBoxWhileOthersCome(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 2)
	f.add("held", 1, 2)
	f.add("short", 30, 2)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 3 * scriptMilliCPU}
	donor.Endpoints = f.reports("held", 0)
	f.planner.SetReport(f.now, shard.CellName("held", 2), donor)
	for _, order := range f.planner.Plan(f.now) {
		f.planner.HandleOrderResult(f.now, order, nil)
		for i := range f.boxes {
			if f.boxes[i].Name == order.Box {
				f.boxes[i].State = damsonwinch.BoxMoving
			}
		}
	}
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, shard.CellName("held", 2), donor)
		receiver := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, RunningCpu: 30 * scriptMilliCPU, WaitingCpu: 60 * scriptMilliCPU}
		receiver.Endpoints = f.reports("short", 0)
		f.planner.SetReport(f.now, shard.CellName("short", 2), receiver)
		f.planner.Plan(f.now)
		d := f.planner.Directives(shard.CellName("held", 2))
		assert.Equal(t, len(d.Withdraw)+len(d.WithdrawUrgently), 0, "the cell's only usable box is withdrawn; %v", f.planner.Summary())
	}
}
