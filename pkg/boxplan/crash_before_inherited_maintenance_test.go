package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestBoxThatCrashesBeforeInheritedMaintenanceIsDue guards against a wave that is reported as completed although a box has
// not been maintained: the life for which an earlier planner recorded the order was still up, and the box crashed and came
// back before the order was repeated.
func TestBoxThatCrashesBeforeInheritedMaintenanceIsDue(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1, BegunMs: int(f.now.UnixMilli()), Done: []string{f.box.Name}})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 60 * time.Second, Boxes: []string{f.box.Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Wave: 1, AtMs: int(f.now.UnixMilli()), Endpoint: damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1}.String()})
	step := func(state damsonwinch.BoxState, startedUnixMs int, withdrawn bool) {
		f.now = f.now.Add(400 * time.Millisecond)
		f.list(state)
		if startedUnixMs > 0 {
			f.report(startedUnixMs, withdrawn)
		}
		assert.Equal(t, len(f.plan(100*time.Millisecond)), 0, "an order of the earlier planner may be on its way")
	}
	step(damsonwinch.BoxUp, 1, true)
	step(damsonwinch.BoxUp, 1, true)
	step(damsonwinch.BoxDown, 0, false)
	step(damsonwinch.BoxUp, 2, false)
	step(damsonwinch.BoxUp, 2, false)
	assert.Assert(t, !f.planner.WaveRecord(1).Completed, "the box was never in maintenance")
}
