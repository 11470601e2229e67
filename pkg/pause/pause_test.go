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

// TestCaughtUpBusy guards against calls that count as unanswered while their replies wait to be handled.
func TestCaughtUpBusy(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d pause.Detector
	d.BusyEvent(time.Time{}, at(0))
	assert.Assert(t, d.CaughtUpBusy(at(0)), "the first event ends no pause")
	d.BusyEvent(at(0), at(120))
	assert.Assert(t, d.CaughtUpBusy(at(120)))
	d.BusyEvent(at(120), at(241))
	assert.Assert(t, !d.CaughtUpBusy(at(340)))
	assert.Assert(t, d.CaughtUpBusy(at(341)))
}
