package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Sizes of a fleet in which one cell of a pool is short of boxes: the number of shards, of powered-off
// boxes, and of long-running tasks of another pool, each of which takes a box.
const (
	fleetShards      = 4
	poweredOffBoxes  = 40
	longRunningTasks = 20
)

// TestShortCellGetsPoweredOffBoxesOfOtherShards guards against a cell getting powered-off boxes of its
// own shard only. On links of 2 Mbit/s, long-running tasks held 20 of the 33 boxes of one of four
// shards. Another pool's cell in that shard had 3,200 cores of work waiting and one box to the end of
// the day, beside 18 powered-off boxes of other shards, and 7 jobs never ran. A box that changes its
// pool starts a new life there, so that it may go to any shard.
func TestShortCellGetsPoweredOffBoxesOfOtherShards(t *testing.T) {
	const shortShard = 2
	f := newShardedFleet()
	for number, count := range []int{14, 13, 0, 13} {
		f.add("off", count, number)
	}
	f.add("held", longRunningTasks, shortShard)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	held := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 100_000, Spread: longRunningTasks, Endpoints: f.reports("held", 1)}
	f.planner.SetReport(f.now, shard.CellName("held", shortShard), held)
	// Work for 25 boxes in one cell.
	f.planner.SetReport(f.now, shard.CellName("short", shortShard), f.backlog("short", 25))

	received := 0
	for _, order := range f.planner.Plan(f.now) {
		if order.Pool == "short" {
			received++
		}
	}
	assert.Assert(t, received >= 25, "%d of %d powered-off boxes go to the cell that is short", received, poweredOffBoxes)
	assert.Equal(t, len(f.planner.Directives(shard.CellName("held", shortShard)).WithdrawUrgently), 0, "no box is taken from long-running tasks")
}
