package pause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/pause"
)

// TestCaughtUp guards against messages that arrived during a pause and are taken as new.
func TestCaughtUp(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d pause.Detector
	d.Event(time.Time{}, at(0))
	assert.Assert(t, d.CaughtUp(at(0)), "the first event ends no pause")
	d.Event(at(0), at(400))
	assert.Assert(t, d.CaughtUp(at(400)))
	d.Event(at(400), at(801))
	d.Event(at(801), at(900))
	assert.Assert(t, !d.CaughtUp(at(900)))
	assert.Assert(t, d.CaughtUp(at(901)))
}
