// Package suspend tells for how long this machine has been suspended. The steady clock, by
// which leases, deadlines and silence are measured, doesn't count that time; others have
// gone on meanwhile.
package suspend

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"damsonwinch"
)

// BootClock reads a clock that counts the time for which the machine is suspended.
type BootClock func() (time.Duration, error)

// BootTime reads the system's.
func BootTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, fmt.Errorf("read the clock since boot: %w", err)
	}
	return time.Duration(now.Nano()), nil
}

const (
	// apartTime is how far the readings of both clocks may be apart for their difference to
	// mean anything, and readings how often they are read until they are close enough: a
	// process may be paused between them.
	apartTime = 5 * time.Millisecond
	readings  = 5
)

var errApart = errors.New("the clocks can't be read at once")

// Detector compares the two clocks.
type Detector struct {
	clock   damsonwinch.Clock
	boot    BootClock
	begunAt time.Time
	began   time.Duration
}

// New begins to watch.
func New(clock damsonwinch.Clock, boot BootClock) (*Detector, error) {
	w := &Detector{clock: clock, boot: boot, begunAt: clock.Now()}
	began, err := w.ahead()
	w.began = began
	return w, err
}

// Suspended returns for how long the machine has been suspended since the watch began. Where the
// clocks can't be read it is as if it had never been.
func (w *Detector) Suspended() time.Duration {
	ahead, err := w.ahead()
	if err != nil {
		return 0
	}
	return max(0, ahead-w.began)
}

// ahead returns by how much the clock since boot is ahead of the steady one.
func (w *Detector) ahead() (time.Duration, error) {
	for range readings {
		before := w.clock.Since(w.begunAt)
		boot, err := w.boot()
		if err != nil {
			return 0, err
		}
		if w.clock.Since(w.begunAt)-before <= apartTime {
			return boot - before, nil
		}
	}
	return 0, errApart
}
