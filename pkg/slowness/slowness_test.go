package slowness_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/slowness"
)

// TestFactorIgnoresChance guards against an endpoint that counts as slow because of a single wrong estimate,
// however many tasks share it, and because of samples that are out of date.
func TestFactorIgnoresChance(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	const variance = 0.1
	var s slowness.Samples
	for range 10 {
		s.Add(now, slowness.Phase{Job: "a"}, 300, 100, variance)
	}
	assert.Equal(t, s.Factor(now), 0.0, "tasks of one phase are one sample")
	s.Add(now.Add(time.Second), slowness.Phase{Job: "b"}, 300, 100, variance)
	assert.Assert(t, math.Abs(s.Factor(now.Add(time.Second))-3) < 1e-9)
	assert.Equal(t, s.Factor(now.Add(4*time.Second)), 0.0, "the first sample is out of date, and one may be chance")
}
