package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestCellKeepsBoxesThatItsLongRunningTasksNeedForMemory guards against a long-running task that waits for a box
// because the one that its run has just left is given to another cell's backlog. The tasks of two jobs need so much
// memory that each takes a box, so that neither their CPU nor the spread of one job shows how many boxes they need.
// TestBoxThatARunHasLeftIsReportedAsNeeded of the cell shows that its owner reports this.
func TestCellKeepsBoxesThatItsLongRunningTasksNeedForMemory(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 6, 0)
	f.add("short", 3, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := wire.SyncReply{
		Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 6 * scriptMilliCPU / 16, Spread: 3, MemoryShare: 6 * 750, LastingBoxes: 5,
		Endpoints: f.reports("held", 1),
	}
	donor.Endpoints[0].Lasting, donor.Endpoints[0].NeededByLasting = 0, true
	f.planner.SetReport(f.now, shard.CellName("held", 0), donor)
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 300 * scriptMilliCPU, Endpoints: f.reports("short", 0)}
	f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
	f.planner.Plan(f.now)
	assert.Equal(t, len(f.planner.Directives(shard.CellName("held", 0)).WithdrawUrgently), 0)
}

// memoryDonor returns the report of a cell whose first box is needed for a long-running task, whose next idle ones
// aren't, and whose others have a task each.
func (f *shardedFleet) memoryDonor(idle int) wire.SyncReply {
	donor := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 6 * scriptMilliCPU / 16, Spread: 3, MemoryShare: 6 * 750, LastingBoxes: 5, Endpoints: f.reports("held", 1)}
	for number := range 1 + idle {
		donor.Endpoints[number].Lasting = 0
	}
	donor.Endpoints[0].NeededByLasting = true
	return donor
}

// TestCellGivesAwayTheBoxesThatItsLongRunningTasksDoNotNeed guards against a cell that keeps idle boxes beside the one
// that its long-running tasks need, and against the latter being given away because there are others.
func TestCellGivesAwayTheBoxesThatItsLongRunningTasksDoNotNeed(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 8, 0)
	f.add("short", 3, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := f.memoryDonor(2)
	f.planner.SetReport(f.now, shard.CellName("held", 0), donor)
	backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 300 * scriptMilliCPU, Endpoints: f.reports("short", 0)}
	f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
	f.planner.Plan(f.now)
	withdrawn := f.planner.Directives(shard.CellName("held", 0)).WithdrawUrgently
	slices.Sort(withdrawn)
	assert.DeepEqual(t, withdrawn, []string{donor.Endpoints[1].Endpoint, donor.Endpoints[2].Endpoint})
}

// TestNeededBoxIsNotPoweredOff guards against a box being powered off while a long-running task waits for it. Once
// the task needs it no longer, the box is powered off.
func TestNeededBoxIsNotPoweredOff(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 1, 0)
	f.add("held", 8, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := f.memoryDonor(2)
	// The sums ask for two boxes only.
	donor.MemoryShare, donor.LastingBoxes, donor.Spread = 0, 0, 0
	withdrawn := func() []string {
		for range 40 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.planner.SetBoxes(f.now, f.boxes)
			f.planner.SetReport(f.now, shard.CellName("held", 0), donor)
			f.planner.Plan(f.now)
		}
		lives := f.planner.Directives(shard.CellName("held", 0)).Withdraw
		slices.Sort(lives)
		return lives
	}
	assert.DeepEqual(t, withdrawn(), []string{donor.Endpoints[1].Endpoint, donor.Endpoints[2].Endpoint})
	donor.Endpoints[0].NeededByLasting = false
	assert.DeepEqual(t, withdrawn(), []string{donor.Endpoints[0].Endpoint, donor.Endpoints[1].Endpoint, donor.Endpoints[2].Endpoint})
}
