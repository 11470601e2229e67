package suspend_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/suspend"
)

func TestOnlySuspendedTimeCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := time.Hour
	pass := func(length time.Duration) { clock.Advance(length); boot += length }
	watch, err := suspend.New(clock, func() (time.Duration, error) { return boot, nil })
	assert.NilError(t, err)
	pass(time.Minute)
	assert.Equal(t, watch.Suspended(), time.Duration(0))
	boot += 3 * time.Second
	pass(time.Second)
	assert.Equal(t, watch.Suspended(), 3*time.Second)
	boot += time.Second
	assert.Equal(t, watch.Suspended(), 4*time.Second)
}

// TestAPauseBetweenTwoReadingsIsNoSuspension: both clocks count it, one of them too late.
func TestAPauseBetweenTwoReadingsIsNoSuspension(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot, pauses := time.Hour, 0
	watch, err := suspend.New(clock, func() (time.Duration, error) {
		if pauses > 0 {
			pauses--
			clock.Advance(time.Second)
			boot += time.Second
		}
		return boot, nil
	})
	assert.NilError(t, err)
	pauses = 1
	assert.Equal(t, watch.Suspended(), time.Duration(0))
	pauses = 100
	assert.Equal(t, watch.Suspended(), time.Duration(0), "nothing can be said")
}

func TestClocksThatCantBeRead(t *testing.T) {
	_, err := suspend.New(clockwork.NewFakeClock(), func() (time.Duration, error) { return 0, errors.New("no such clock") })
	assert.ErrorContains(t, err, "no such clock")
}

func TestTheSystemsClocks(t *testing.T) {
	watch, err := suspend.New(clockwork.NewRealClock(), suspend.BootTime)
	assert.NilError(t, err)
	assert.Assert(t, watch.Suspended() < time.Second)
}

func BenchmarkSlept(b *testing.B) {
	watch, err := suspend.New(clockwork.NewRealClock(), suspend.BootTime)
	assert.NilError(b, err)
	for b.Loop() {
		watch.Suspended()
	}
}
