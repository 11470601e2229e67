package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestLongRunningTasksGetBoxesBeforeBacklog guards against a cell's large backlog taking the box that
// a long-running task of another cell needs. A cell lacked one of the 14 boxes for its long-running
// tasks while other cells had only 29 of the 320 boxes for their backlog. Those counted as needier and
// got each box that became free, and the long-running task didn't run for 13 s.
func TestLongRunningTasksGetBoxesBeforeBacklog(t *testing.T) {
	for name, poweredOff := range map[string]int{"with a powered-off box": 1, "with a box of the backlog's cell": 0} {
		t.Run(name, func(t *testing.T) {
			f := newShardedFleet()
			f.add("off", poweredOff, 1)
			f.add("held", longRunningTasks, 2)
			f.add("short", 3, 0)
			f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
			held := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 100_000, Spread: longRunningTasks + 1}
			held.Endpoints = f.reports("held", 1)
			f.planner.SetReport(f.now, shard.CellName("held", 2), held)
			backlog := f.backlog("short", 300)
			f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)

			movedTo := ""
			for _, order := range f.planner.Plan(f.now) {
				movedTo = shard.CellName(order.Pool, order.Shard)
			}
			urgent := func() int { return len(f.planner.Directives(shard.CellName("short", 0)).WithdrawUrgently) }
			assert.Equal(t, urgent(), 0, "a box that is being maintained comes back soon")
			if poweredOff > 0 {
				assert.Equal(t, movedTo, shard.CellName("held", 2))
				return
			}
			f.now = f.now.Add(5 * time.Second)
			f.planner.SetBoxes(f.now, f.boxes)
			f.planner.SetReport(f.now, shard.CellName("held", 2), held)
			f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
			f.planner.Plan(f.now)
			assert.Equal(t, urgent(), 1, "one box of the cell with the backlog is withdrawn")
		})
	}
}
