package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestCellKeepsBoxesThatItsLongRunningTasksNeedForMemory guards against a long-running task that waits for a box
// because the one that its run has just left is given to another cell's backlog. The tasks of two jobs need so much
// memory that each takes a box, so that neither their CPU nor the spread of one job shows how many boxes they need.
func TestCellKeepsBoxesThatItsLongRunningTasksNeedForMemory(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 6, 0)
	f.add("short", 3, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := wire.SyncReply{
		Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 6 * scriptMilliCPU / 16, Spread: 3, MemoryShare: 6 * 750, LastingBoxes: 5,
		Endpoints: f.reports("held", 1),
	}
	donor.Endpoints[0].Lasting = 0
	f.planner.SetReport(f.now, shard.CellName("held", 0), donor)
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 300 * scriptMilliCPU, Endpoints: f.reports("short", 0)}
	f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
	f.planner.Plan(f.now)
	assert.Equal(t, len(f.planner.Directives(shard.CellName("held", 0)).WithdrawUrgently), 0)
}
