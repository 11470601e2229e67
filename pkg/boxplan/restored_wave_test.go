package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// TestBoxThatIsGivenBackIsWithdrawnAnewForAWave guards against maintenance that ends the runs on a box: the planner has
// told the cell's owner to use the box again, and the report that shows it as withdrawn is from before that.
func TestBoxThatIsGivenBackIsWithdrawnAnewForAWave(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	name := shard.CellName("short", 0)
	report := f.shortReport(0)
	withdrawn := map[string]bool{}
	plan := func(after time.Duration, missing int) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		report.MissingBoxes = missing
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn = withdrawn[row.Endpoint]
			row.Usable = !row.Withdrawn
		}
		f.planner.SetReport(f.now, name, report)
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, damsonwinch.ErrRefused)
		}
	}
	for range 4 {
		plan(time.Second, 0)
		for _, life := range f.planner.Directives(name).Withdraw {
			withdrawn[life] = true
		}
	}
	plan(100*time.Millisecond, 1)
	restored := f.planner.Directives(name).Restore
	assert.Equal(t, len(restored), 1)

	// The owner's answer to the call that restored the endpoint is not there yet.
	var wave damsonwinch.Wave
	for _, b := range f.boxes {
		if slices.Contains(restored, b.EndpointID) {
			wave = damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 3 * time.Second, Boxes: []string{b.Name}}
		}
	}
	f.planner.SetWave(f.now, wave)
	for range 3 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, order := range f.planner.Plan(f.now) {
			assert.Assert(t, order.Wave == 0, "maintenance is ordered on a life that is in use again")
		}
	}
}
