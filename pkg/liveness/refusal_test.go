package liveness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/liveness"
)

// TestRefusalProvesExitForATime checks that a refused connection counts only for the incarnation that refused
// it, and only for a time: the address may belong to a later process.
func TestRefusalProvesExitForATime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	refusal := liveness.NewRefusal(2, now)
	assert.Assert(t, refusal.ProvesExit(2, now.Add(1499*time.Millisecond)))
	assert.Assert(t, !refusal.ProvesExit(2, now.Add(1500*time.Millisecond)))
	assert.Assert(t, !refusal.ProvesExit(3, now))
	assert.Assert(t, !liveness.Refusal{}.ProvesExit(0, now))
}
