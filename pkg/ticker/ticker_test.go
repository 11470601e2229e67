package ticker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestIntervalFollowsBusy(t *testing.T) {
	const busyInterval, idleInterval = 10 * time.Millisecond, time.Second
	clock := clockwork.NewFakeClock()
	ticker := New(clock, busyInterval, idleInterval)
	defer ticker.Stop()
	ticked := func(after time.Duration) bool {
		clock.Advance(after)
		select {
		case <-ticker.Chan():
			return true
		default:
			return false
		}
	}
	assert.Assert(t, !ticked(busyInterval))
	assert.Assert(t, ticked(idleInterval))
	ticker.SetBusy(true)
	assert.Assert(t, ticked(busyInterval))
	ticker.SetBusy(false)
	assert.Assert(t, !ticked(busyInterval))
	assert.Assert(t, ticked(idleInterval))
}
