package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestAcceptedInheritedMaintenanceIsNotDueAgain guards against a second maintenance of a box. The earlier
// planner's order was refused because the box was down, so that its record of the wave doesn't have the box;
// the new planner repeats the order, and the platform accepts it.
func TestAcceptedInheritedMaintenanceIsNotDueAgain(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{f.box.Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Wave: 1, AtMs: int(f.now.UnixMilli())})
	f.list(damsonwinch.BoxDown)
	repeated := f.plan(4 * time.Second)
	assert.Equal(t, len(repeated), 1)
	f.planner.HandleOrderResult(f.now, repeated[0], nil)

	f.now = f.now.Add(time.Second)
	f.list(damsonwinch.BoxMaintenance)
	f.now = f.now.Add(2 * time.Second)
	f.list(damsonwinch.BoxUp)
	f.report(2, false)
	assert.Equal(t, len(f.plan(100*time.Millisecond)), 0)
	f.report(2, true)
	assert.Equal(t, len(f.plan(100*time.Millisecond)), 0, "the box has been maintained")
	assert.Assert(t, f.planner.WaveRecord(1).Completed)
}

// TestMaintenanceThatWasDoneBeforeCompletesTheWave guards against a wave that never ends. The platform accepts
// an order for a box that it has maintained already without doing anything, so that the box's life goes on.
func TestMaintenanceThatWasDoneBeforeCompletesTheWave(t *testing.T) {
	f := newOneBoxFleet()
	f.maintain(t, 1, 1)
	for range 8 {
		f.now = f.now.Add(time.Second)
		f.list(damsonwinch.BoxUp)
		f.report(1, false)
		assert.Equal(t, len(f.plan(0)), 0)
	}
	assert.Assert(t, f.planner.WaveRecord(1).Completed)
}
