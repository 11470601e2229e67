package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestInheritedMaintenanceOfAnEarlierLifeStaysDone guards against boxes that are withdrawn and maintained anew after each
// takeover of the planner: the recorded order has been carried out, and the later life that is in use has the same ID.
func TestInheritedMaintenanceOfAnEarlierLifeStaysDone(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1, BegunMs: int(f.now.UnixMilli()), Done: []string{f.box.Name}})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 60 * time.Second, Boxes: []string{f.box.Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Wave: 1, AtMs: int(f.now.UnixMilli()), Endpoint: damsonwinch.Life{ID: "at-" + f.box.Name, StartedUnixMs: 1}.String()})
	f.list(damsonwinch.BoxUp)
	f.report(2, false)
	f.plan(100 * time.Millisecond)
	f.list(damsonwinch.BoxUp)
	f.plan(time.Second)
	assert.DeepEqual(t, f.planner.WaveRecord(1).Done, []string{f.box.Name})
}
