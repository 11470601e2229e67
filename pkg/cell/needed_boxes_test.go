package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// neededEndpoints returns the IDs of the endpoints without long-running tasks that the cell reports as needed for some.
func (c *crowdedCell) neededEndpoints() []string {
	needed := []string{}
	for _, row := range c.cell.Report(c.now).Endpoints {
		if row.NeededByLasting && row.Lasting == 0 {
			needed = append(needed, row.Endpoint)
		}
	}
	return needed
}

// largePhase is a phase with long-running tasks of which a box holds one by its memory.
func largePhase(count int) wire.Phase {
	return wire.Phase{Count: count, Cpu: 250, MemoryMb: 6000, EstimateMs: 300, Lasting: true, MostPerBox: 1}
}

// fail has the run of a long-running task fail, and the endpoint on which it was refuse all starts for now.
func (c *crowdedCell) fail(task damsonwinch.TaskID) string {
	id := c.startedOn[task].ID
	c.faults.refusals[id] = damsonwinch.ErrStaleRun
	c.finishOldest(id, damsonwinch.EndedFailed)
	c.runFor(200 * time.Millisecond)
	return id
}

// TestBoxThatARunHasLeftIsReportedAsNeeded guards against a planner that can't know that a cell needs the box that
// a run has just left: neither the CPU of its tasks nor their memory nor the spread of one phase shows it.
// TestCellKeepsBoxesThatItsLongRunningTasksNeedForMemory of the planner has this report.
func TestBoxThatARunHasLeftIsReportedAsNeeded(t *testing.T) {
	c := newCrowdedCell(t, "a", "b", "c", "d", "e", "f")
	c.submit("first", "one", largePhase(3))
	c.submit("first", "two", largePhase(3))
	c.runFor(time.Second)
	assert.Equal(t, len(c.startedOn), 6)
	assert.DeepEqual(t, c.neededEndpoints(), []string{})
	left := c.fail(damsonwinch.TaskID{Job: "two", Index: 1})
	report := c.cell.Report(c.now)
	assert.Equal(t, report.LastingCpu, 6*4000/16)
	assert.Equal(t, report.Spread, 3)
	assert.Equal(t, report.MemoryShare, 6*750)
	assert.Equal(t, report.LastingBoxes, 5)
	assert.Equal(t, report.MissingBoxes, 0)
	assert.DeepEqual(t, c.neededEndpoints(), []string{left})
	clear(c.faults.refusals)
	c.runFor(3 * time.Second)
	assert.DeepEqual(t, c.neededEndpoints(), []string{})
	assert.Equal(t, c.cell.Report(c.now).LastingBoxes, 6)
}

// TestOnlyAsManyBoxesAreNeededAsTasksWait guards against a cell that keeps boxes for which it has no tasks.
func TestOnlyAsManyBoxesAreNeededAsTasksWait(t *testing.T) {
	c := newCrowdedCell(t, "a", "b", "c", "d", "e", "f")
	c.submit("first", "large", largePhase(3))
	c.runFor(time.Second)
	assert.Assert(t, c.hasStarted("large", 0) && c.hasStarted("large", 1) && c.hasStarted("large", 2))
	c.fail(damsonwinch.TaskID{Job: "large", Index: 1})
	assert.Equal(t, len(c.neededEndpoints()), 0, "the task runs on another box: %v", c.neededEndpoints())
	for _, info := range c.listed {
		c.faults.refusals[info.Life.ID] = damsonwinch.ErrStaleRun
	}
	c.submit("first", "small", wire.Phase{Count: 3, Cpu: 250, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.runFor(200 * time.Millisecond)
	assert.Equal(t, len(c.neededEndpoints()), 0, "the tasks fit beside the large ones: %v", c.neededEndpoints())
	c.submit("first", "more", largePhase(2))
	c.runFor(200 * time.Millisecond)
	assert.Equal(t, len(c.neededEndpoints()), 2)
	c.cell.Cancel(c.now, wire.JobArgs{Queue: "first", Id: "more", Public: true}, 100)
	c.runFor(time.Second)
	assert.Equal(t, len(c.neededEndpoints()), 0, "the tasks are cancelled")
}

// TestTasksThatFitBesideOthersNeedNoFurtherBox guards against an idle box being kept for a task that fits on one which
// already has a long-running task.
func TestTasksThatFitBesideOthersNeedNoFurtherBox(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	c.faults.refusals["a"] = damsonwinch.ErrStaleRun
	c.submit("first", "large", largePhase(1))
	c.runFor(time.Second)
	assert.Equal(t, c.startedOn[damsonwinch.TaskID{Job: "large"}].ID, "b")
	c.faults.refusals["b"] = damsonwinch.ErrStaleRun
	c.submit("first", "small", wire.Phase{Count: 3, Cpu: 250, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.runFor(200 * time.Millisecond)
	assert.DeepEqual(t, c.neededEndpoints(), []string{})
}

// TestNeededBoxIsTheOneThatIsFreeSoonest guards against an idle box being given away while a task waits for the short
// tasks on another one.
func TestNeededBoxIsTheOneThatIsFreeSoonest(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	c.faults.refusals["b"] = damsonwinch.ErrStaleRun
	c.submit("first", "short", wire.Phase{Count: 1, Cpu: 4000, MemoryMb: 500, EstimateMs: 2000})
	c.runFor(200 * time.Millisecond)
	assert.Equal(t, c.startedOn[damsonwinch.TaskID{Job: "short"}].ID, "a")
	c.submit("first", "large", largePhase(1))
	c.runFor(200 * time.Millisecond)
	assert.DeepEqual(t, c.neededEndpoints(), []string{"b"})
}

// TestBoxWithTheLabelIsNeeded guards against the only box with a label being given away while a task waits for it: no
// further box is asked for because of a label.
func TestBoxWithTheLabelIsNeeded(t *testing.T) {
	c := newCrowdedCell(t, "a", "b", "c")
	c.relist(func(info *damsonwinch.Endpoint) { info.Labels = []string{"special"} })
	c.faults.refusals["b"] = damsonwinch.ErrStaleRun
	phase := largePhase(1)
	phase.Label = "special"
	c.submit("first", "labelled", phase)
	c.runFor(200 * time.Millisecond)
	assert.DeepEqual(t, c.neededEndpoints(), []string{"b"})
	assert.Equal(t, c.cell.Report(c.now).MissingBoxes, 0)
}

// TestBoxIsNeededForTasksOfOtherEndpoints guards against the only box that could take the task of an endpoint that is
// silent or to be withdrawn being given away before the task can be started there, and against a box kept for a task
// that may not be interrupted.
func TestBoxIsNeededForTasksOfOtherEndpoints(t *testing.T) {
	for name, test := range map[string]struct {
		away   int
		lose   func(c *crowdedCell, id string)
		needed int
	}{
		"silent": {needed: 1, lose: func(c *crowdedCell, id string) { c.faults.losses[id] = neverAnswers }},
		"to be withdrawn": {away: 1, needed: 1, lose: func(c *crowdedCell, id string) {
			c.cell.ApplySync(c.now, wire.SyncArgs{Withdraw: []string{id}})
		}},
		"not to be interrupted": {lose: func(c *crowdedCell, id string) {
			c.cell.ApplySync(c.now, wire.SyncArgs{Withdraw: []string{id}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrowdedCell(t, "a", "b", "c", "d")
			phase := largePhase(2)
			phase.AwayAtMost = test.away
			c.submit("first", "large", phase)
			c.runFor(time.Second)
			for _, info := range c.listed {
				c.faults.refusals[info.Life.ID] = damsonwinch.ErrStaleRun
			}
			test.lose(c, c.startedOn[damsonwinch.TaskID{Job: "large"}].ID)
			c.runFor(2 * time.Second)
			assert.Equal(t, len(c.neededEndpoints()), test.needed, "%+v", c.cell.Report(c.now).Endpoints)
			assert.Equal(t, c.cell.Report(c.now).MissingBoxes, 0)
		})
	}
}

// TestTasksOfOnePhaseNeedABoxEach guards against one box being kept for two tasks of a phase that may not be on the
// same box, of which one waits and one is on an endpoint that is silent.
func TestTasksOfOnePhaseNeedABoxEach(t *testing.T) {
	c := newCrowdedCell(t, "a", "b", "c")
	c.faults.refusals["b"], c.faults.refusals["c"] = damsonwinch.ErrStaleRun, damsonwinch.ErrStaleRun
	c.submit("first", "apart", wire.Phase{Count: 2, Cpu: 250, MemoryMb: 500, EstimateMs: 300, Lasting: true, MostPerBox: 1})
	c.runFor(time.Second)
	assert.Equal(t, len(c.startedOn), 1)
	c.faults.losses["a"] = neverAnswers
	c.runFor(2 * time.Second)
	assert.DeepEqual(t, c.neededEndpoints(), []string{"b", "c"})
}
