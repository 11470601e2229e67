package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestCellKeepsTheBoxesOfItsLongRunningTasks guards against a long-running task that waits until another pool's
// backlog is gone: the run of the task has failed, and the box without it is given away.
func TestCellKeepsTheBoxesOfItsLongRunningTasks(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 6, 0)
	f.add("short", 3, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 6 * scriptMilliCPU / 4, Spread: 6, Endpoints: f.reports("held", 1)}
	donor.Endpoints[0].Lasting = 0
	f.planner.SetReport(f.now, shard.CellName("held", 0), donor)
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 300 * scriptMilliCPU, Endpoints: f.reports("short", 0)}
	f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
	f.planner.Plan(f.now)
	assert.Equal(t, len(f.planner.Directives(shard.CellName("held", 0)).WithdrawUrgently), 0)
}
