package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// TestBoxIsNotWithdrawnAgainAndAgainWhileMaintenanceIsRefused guards against long-running tasks that are moved off a box and
// back every few seconds for as long as the platform refuses its maintenance.
func TestBoxIsNotWithdrawnAgainAndAgainWhileMaintenanceIsRefused(t *testing.T) {
	f := newRefusedMaintenance(time.Minute)
	for range 250 {
		f.step(damsonwinch.ErrRefused)
	}
	assert.Assert(t, f.withdrawals <= 3, "the box is withdrawn %d times and restored %d times in 25 s", f.withdrawals, f.restores)
}
