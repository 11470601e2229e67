package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// TestNoBoxIsWithdrawnForAWaveWhileControlIsAway guards against endpoints that are withdrawn for maintenance which control
// of boxes doesn't take, and that stay withdrawn, idle, until it is back.
func TestNoBoxIsWithdrawnForAWaveWhileControlIsAway(t *testing.T) {
	f := newOutageFleet()
	leaving := f.planner.Directives(f.short).WithdrawUrgently
	f.withdrawn[leaving[0]] = true
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	f.now = f.now.Add(800 * time.Millisecond)
	f.planner.HandleOrderResult(f.now, orders[0], errNoAnswer)
	f.plan(200 * time.Millisecond)
	assert.Equal(t, len(f.planner.Directives(f.short).WithdrawUrgently), 0, "control of boxes is away")

	wave := damsonwinch.Wave{Number: 1, MaxDown: 6, Duration: 20 * time.Second}
	for _, b := range f.boxes {
		wave.Boxes = append(wave.Boxes, b.Name)
	}
	f.planner.SetWave(f.now, wave)
	for range 40 {
		f.plan(200 * time.Millisecond)
		directives := f.planner.Directives(f.short)
		assert.Equal(t, len(slices.Concat(directives.Withdraw, directives.WithdrawUrgently)), 0, "no box can be maintained")
	}
}
