package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentBoxIsNotKept guards against a long-running task that waits for joinTimeout because a box is kept for it that
// its owner can't reach, beside a powered-off one.
func TestSilentBoxIsNotKept(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	for range 4 {
		f.planRefused(time.Second, 0)
		setAll(f.silent, f.leaving())
	}
	assert.Assert(t, len(f.silent) > 0, "boxes are to be powered off, and don't answer")
	f.add("off", 1, 1)
	ordered := f.planRefused(100*time.Millisecond, 1)
	for range 5 {
		ordered = append(ordered, f.planRefused(100*time.Millisecond, 1)...)
	}
	assert.Assert(t, slices.Contains(ordered, "short"), "a powered-off box is ordered within half a second")
}
