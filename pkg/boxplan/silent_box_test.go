package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// TestSilentBoxIsNotKept guards against a long-running task that waits for joinTimeout because a box is kept for it that
// its owner can't reach, beside a powered-off one.
func TestSilentBoxIsNotKept(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	name := shard.CellName("short", 0)
	report := f.shortReport(0)
	leaving := map[string]bool{}
	plan := func(after time.Duration, missing int) (ordered []string) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		report.MissingBoxes = missing
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Silent = leaving[row.Endpoint]
			row.Usable = !row.Silent
		}
		f.planner.SetReport(f.now, name, report)
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Pool)
			f.planner.HandleOrderResult(f.now, order, damsonwinch.ErrRefused)
		}
		return ordered
	}
	for range 4 {
		plan(time.Second, 0)
		for _, life := range f.planner.Directives(name).Withdraw {
			leaving[life] = true
		}
	}
	assert.Assert(t, len(leaving) > 0, "boxes are to be powered off, and don't answer")
	f.add("off", 1, 1)
	ordered := plan(100*time.Millisecond, 1)
	for range 5 {
		ordered = append(ordered, plan(100*time.Millisecond, 1)...)
	}
	assert.Assert(t, slices.Contains(ordered, "short"), "a powered-off box is ordered within half a second")
}
