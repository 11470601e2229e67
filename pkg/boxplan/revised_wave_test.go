package boxplan_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
)

// TestMaintenanceThatIsTakenBackIsDueAfterATakeover guards against a box that is never maintained: the record of its wave
// says that it was ordered, the order was taken back, and a new planner takes it for maintained.
func TestMaintenanceThatIsTakenBackIsDueAfterATakeover(t *testing.T) {
	f := newOneBoxFleet()
	wave := damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}}
	f.planner.SetWave(f.now, wave)
	f.report(1, false)
	f.plan(0)
	f.report(1, true)
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	recorded := f.planner.WaveRecord(1)
	assert.DeepEqual(t, recorded.Done, []string{f.box.Name})
	f.planner.HandleOrderResult(f.now, orders[0], damsonwinch.ErrBoxNotUp)
	for _, record := range f.planner.RevisedWaves() {
		recorded = record
	}
	assert.Equal(t, len(f.planner.RevisedWaves()), 0, "each change is recorded once")
	next := boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond})
	next.LoadWave(f.now, recorded)
	next.SetWave(f.now, wave)
	next.SetBoxes(f.now, []damsonwinch.Box{f.box})
	next.Plan(f.now)
	assert.Assert(t, strings.Contains(strings.Join(next.Summary(), "\n"), "wave 1: 1 boxes due"), "%v", next.Summary())
}
