package suspend_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/suspend"
)

func TestOnlySuspendedTimeIsCounted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot := time.Hour
	run := func(length time.Duration) { clock.Advance(length); boot += length }
	detector, err := suspend.New(clock, func() (time.Duration, error) { return boot, nil })
	assert.NilError(t, err)
	run(time.Minute)
	assert.Equal(t, detector.SuspendedTime(), time.Duration(0))
	boot += 3 * time.Second
	run(time.Second)
	assert.Equal(t, detector.SuspendedTime(), 3*time.Second)
	boot += time.Second
	assert.Equal(t, detector.SuspendedTime(), 4*time.Second)
}

// TestPauseBetweenReadingsIsNotCounted guards against a pause of the process between the readings of
// the two clocks: the difference of the readings then looks like a suspension, although both clocks
// count the pause.
func TestPauseBetweenReadingsIsNotCounted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	boot, pauses := time.Hour, 0
	detector, err := suspend.New(clock, func() (time.Duration, error) {
		if pauses > 0 {
			pauses--
			clock.Advance(time.Second)
			boot += time.Second
		}
		return boot, nil
	})
	assert.NilError(t, err)
	pauses = 1
	assert.Equal(t, detector.SuspendedTime(), time.Duration(0))
	pauses = 100
	assert.Equal(t, detector.SuspendedTime(), time.Duration(0), "0 if the clocks can't be compared")
}

func TestNewFailsIfTheBootClockFails(t *testing.T) {
	_, err := suspend.New(clockwork.NewFakeClock(), func() (time.Duration, error) { return 0, errors.New("no such clock") })
	assert.ErrorContains(t, err, "no such clock")
}

func TestSystemClocksCanBeRead(t *testing.T) {
	detector, err := suspend.New(clockwork.NewRealClock(), suspend.BootTime)
	assert.NilError(t, err)
	assert.Assert(t, detector.SuspendedTime() < time.Second)
}

func BenchmarkSuspended(b *testing.B) {
	detector, err := suspend.New(clockwork.NewRealClock(), suspend.BootTime)
	assert.NilError(b, err)
	for b.Loop() {
		detector.SuspendedTime()
	}
}
