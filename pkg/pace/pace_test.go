package pace

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestTicksFollowTheWork(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, time.Second
	clock := clockwork.NewFakeClock()
	ticker := New(clock, fast, slow)
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
	assert.Assert(t, !ticked(fast))
	assert.Assert(t, ticked(slow))
	ticker.SetBusy(true)
	assert.Assert(t, ticked(fast))
	ticker.SetBusy(false)
	assert.Assert(t, !ticked(fast))
	assert.Assert(t, ticked(slow))
}
