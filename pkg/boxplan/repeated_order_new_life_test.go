package boxplan_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestRepeatedOrderDoesNotEndALaterLife guards against an order that ends the runs of a life not withdrawn for it.
func TestRepeatedOrderDoesNotEndALaterLife(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 3, 2)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	name := f.boxes[0].Name
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{name}})
	withdrawn, longRunning := false, 0
	plan := func(after time.Duration) []string {
		f.now = f.now.Add(after)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 0)}
		report.Endpoints[0].Usable, report.Endpoints[0].Withdrawn, report.Endpoints[0].Lasting = !withdrawn, withdrawn, longRunning
		f.planner.SetReport(f.now, shard.CellName("held", 2), report)
		var ordered []string
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Box)
			f.planner.HandleOrderResult(f.now, order, map[bool]error{false: errors.New("lost on its way"), true: damsonwinch.ErrBoxNotUp}[f.boxes[0].State == damsonwinch.BoxDown])
		}
		return ordered
	}
	assert.Equal(t, len(plan(0)), 0, "the endpoint is withdrawn first")
	withdrawn = true
	assert.DeepEqual(t, plan(100*time.Millisecond), []string{name})
	f.boxes[0].State = damsonwinch.BoxDown
	assert.DeepEqual(t, plan(400*time.Millisecond), []string{name})
	f.planner.SetBoxes(f.now, f.boxes)

	f.boxes[0].State, f.boxes[0].EndpointID = damsonwinch.BoxUp, "later"
	withdrawn, longRunning = false, 1
	f.planner.SetBoxes(f.now.Add(time.Second), f.boxes)
	assert.Equal(t, len(plan(2*time.Second)), 0, "a long-running task runs on the later life")
}

// TestDifferentBoxesAreNotAskedForWithoutEnd guards against taking box after box for a task that fits on none.
func TestDifferentBoxesAreNotAskedForWithoutEnd(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 2)
	f.boxes[0].Capacity = damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB / 4}
	f.boxes[1].Capacity = damsonwinch.Resources{MilliCPU: scriptMilliCPU / 4, MemoryMB: scriptMemoryMB}
	owner := newTestOwner(t, f.now, f.endpoints("held"))
	owner.submit(wire.Phase{Count: 1, Cpu: scriptMilliCPU / 2, MemoryMb: scriptMemoryMB / 2, EstimateMs: 1000, Lasting: true, AwayAtMost: 1})
	owner.runFor(time.Second)
	assert.Equal(t, owner.cell.Report(owner.now).MissingBoxes, 0, "no box of the pool can hold the task")
}
