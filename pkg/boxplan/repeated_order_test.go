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

// TestRefusedRepetitionOfAnOrderKeepsTheOrder guards against more boxes in maintenance than a wave
// allows. A box that is down because of an order whose answer was lost refuses the repetition of that
// order, and must go on counting as down.
func TestRefusedRepetitionOfAnOrderKeepsTheOrder(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 1)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{f.boxes[0].Name, f.boxes[1].Name}})
	first := f.planner.Plan(f.now)
	assert.Equal(t, len(first), 1)
	f.planner.HandleOrderResult(f.now, first[0], errors.New("the answer is lost"))

	f.now = f.now.Add(400 * time.Millisecond)
	repeated := f.planner.Plan(f.now)
	assert.DeepEqual(t, repeated, first)
	f.planner.HandleOrderResult(f.now, repeated[0], damsonwinch.ErrBoxNotUp)

	for i := range f.boxes {
		if f.boxes[i].Name == first[0].Box {
			f.boxes[i].State = damsonwinch.BoxMaintenance
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the wave's only box down is still in maintenance")
}

// TestInheritedOrderOutlastsARefusal guards against the same after a new planner has taken over: the box is
// down because of an order that the planner before it had recorded.
func TestInheritedOrderOutlastsARefusal(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 1)
	inherited := f.boxes[0].Name
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1, Done: []string{inherited}})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{inherited, f.boxes[1].Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: inherited, Wave: 1, AtMs: int(f.now.UnixMilli())})
	f.boxes[0].State = damsonwinch.BoxMaintenance
	f.planner.SetBoxes(f.now, f.boxes)

	f.now = f.now.Add(4 * time.Second)
	repeated := f.planner.Plan(f.now)
	assert.Equal(t, len(repeated), 1)
	f.planner.HandleOrderResult(f.now, repeated[0], damsonwinch.ErrBoxNotUp)
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the wave's only box down is still in maintenance")
}

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
