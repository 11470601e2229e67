package cutoff_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/cutoff"
)

// TestZoneIsCutOffUntilAnEndpointAnswers guards against starts in a zone that can't be reached, and
// against a zone that stays out of use because a single endpoint has exited.
func TestZoneIsCutOffUntilAnEndpointAnswers(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var z cutoff.Zone
	check := func(now time.Time, add func()) {
		z.BeginCheck()
		add()
		z.EndCheck(now)
	}
	assert.Assert(t, !z.Answered(at(0)))
	check(at(100), z.AddSilent)
	assert.Assert(t, !z.MayBeCutOff(), "one silent endpoint is no sign of a cut")
	check(at(200), func() { z.AddOverdue(at(-10)) })
	assert.Assert(t, !z.MayBeCutOff(), "another endpoint has answered since")
	check(at(200), func() { z.AddOverdue(at(10)) })
	assert.Assert(t, z.MayBeCutOff() && !z.IsCutOff(at(499)))
	check(at(400), z.AddSilent)
	assert.Assert(t, z.IsCutOff(at(500)), "a call that times out ends no cut")
	assert.Assert(t, z.Answered(at(600)) && !z.MayBeCutOff())
}

// TestCallThatTimedOutIsNotOverdue guards against a zone that counts as cut off because of a single
// call that was never answered.
func TestCallThatTimedOutIsNotOverdue(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	for ms, want := range map[int]bool{150: false, 151: true, 1499: true, 1500: false} {
		assert.Equal(t, cutoff.IsOverdue(start.Add(time.Duration(ms)*time.Millisecond), start), want, "after %d ms", ms)
	}
}
