package claimpace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewClaimsAreReadAtOnce checks that a node learns of a few new owners without a pause, and a node that
// waits to claim a cell of many.
func TestFewClaimsAreReadAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var pace Reads
	for read := range ReadBurst {
		assert.Equal(t, pace.Pause(now), time.Duration(0), "read %d", read)
	}
	assert.Equal(t, pace.Pause(now), time.Second/ReadsPerSec)
	pace.NoteConflict(now)
	for range 100 {
		assert.Equal(t, pace.Pause(now), time.Duration(0), "after a conflict")
	}
	now = now.Add(readsConflict)
	assert.Assert(t, pace.Pause(now) <= time.Second/ReadsPerSec, "reads without a pause are not made up for")
	assert.Equal(t, pace.Pause(now.Add(time.Minute)), time.Duration(0), "after a minute")
}
