package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
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
	backlog := f.backlog("short", 300)
	f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
	f.planner.Plan(f.now)
	assert.Equal(t, len(f.planner.Directives(shard.CellName("held", 0)).WithdrawUrgently), 0)
}

// TestBoxOfACellThatStopsReportingIsNotWaitedFor guards against a long-running task that waits for as long as another cell
// has no owner: a box of that cell was chosen for the task's cell before, and counts for it, beside a powered-off box.
func TestBoxOfACellThatStopsReportingIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	plan := func(reports bool) (ordered int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		if reports {
			f.planner.SetReport(f.now, short, f.shortReport(0))
		}
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, nil)
			if order.Pool == "held" {
				ordered++
			}
		}
		return ordered
	}
	plan(true)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), 1, "a box is withdrawn for the cell")
	f.add("off", 1, 1)
	ordered := 0
	for range 150 {
		ordered += plan(false)
	}
	assert.Assert(t, ordered > 0, "no box is ordered within 15 s: %v", f.planner.Summary())
}

// TestBoxOfACellWithoutReportsIsNotChosen guards against a long-running task that waits for as long as another cell has no
// owner: a box there that was to be powered off is chosen for the task's cell, since without a report it seems to be empty
// at once, and counts for the cell. No box of a cell with an owner is chosen.
func TestBoxOfACellWithoutReportsIsNotChosen(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	f.add("short", 6, 1)
	f.add("held", 1, 0)
	ownerless, donor, held := shard.CellName("short", 0), shard.CellName("short", 1), shard.CellName("held", 0)
	plan := func(missing int, reports bool) (chosen bool) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		all := f.shortReport(0)
		first, second := all, all
		isFirst := func(row wire.EndpointReport) bool { return f.layout.BoxShard(row.Box) == 0 }
		first.Endpoints = slices.DeleteFunc(slices.Clone(all.Endpoints), func(row wire.EndpointReport) bool { return !isFirst(row) })
		second.Endpoints = slices.DeleteFunc(slices.Clone(all.Endpoints), isFirst)
		// The boxes of the second cell are in use until they are chosen for another one.
		second.RunningCpu = 4 * scriptMilliCPU
		if reports {
			f.planner.SetReport(f.now, ownerless, first)
		}
		f.planner.SetReport(f.now, donor, second)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: missing, Endpoints: f.reports("held", 1)})
		f.planner.Plan(f.now)
		return len(f.planner.Directives(donor).WithdrawUrgently) > 0
	}
	for range 20 {
		plan(0, true)
	}
	assert.Assert(t, len(f.planner.Directives(ownerless).Withdraw) > 0, "boxes are to be powered off")
	for range 25 {
		plan(0, false)
	}
	for range 80 {
		if plan(1, false) {
			return
		}
	}
	t.Fatalf("no box that can be emptied is chosen within 8 s: %v", f.planner.Summary())
}

// TestCellKeepsItsOnlyUsableBoxWhileOthersCome guards against a cell without any usable box: boxes that are
// on their way to it counted as boxes that it can spare, so that it gave away the one that it used.
func TestCellKeepsItsOnlyUsableBoxWhileOthersCome(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 2)
	f.add("held", 1, 2)
	f.add("short", 30, 2)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	donor := f.backlog("held", 3)
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
	backlog := f.backlog("short", 300)
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
	backlog := f.backlog("short", 300)
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

// TestSilentBoxIsNotKept guards against a long-running task that waits for joinTimeout because a box is kept for it that
// its owner can't reach, beside a powered-off one.
func TestSilentBoxIsNotKept(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	for range 4 {
		f.planRefused(time.Second, 0)
		setAll(f.silent, f.leaving())
	}
	assert.Assert(t, len(f.silent) > 0, "boxes are to be powered off, and don't answer")
	f.add("off", 1, 1)
	ordered := f.planRefused(100*time.Millisecond, 1)
	for range 5 {
		ordered = append(ordered, f.planRefused(100*time.Millisecond, 1)...)
	}
	assert.Assert(t, slices.Contains(ordered, "short"), "a powered-off box is ordered within half a second")
}
