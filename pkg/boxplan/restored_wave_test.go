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
	for range 4 {
		f.planRefused(time.Second, 0)
		setAll(f.withdrawn, f.leaving())
	}
	f.planRefused(100*time.Millisecond, 1)
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
