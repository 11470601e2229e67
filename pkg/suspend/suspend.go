// Package suspend measures how long this machine has been suspended. The monotonic clock, by which
// leases, deadlines and timeouts are measured, doesn't count that time, but other machines keep running
// meanwhile.
package suspend

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"damsonwinch"
)

// BootClock returns the reading of a clock that also runs while the machine is suspended.
type BootClock func() (time.Duration, error)

// BootTime is the BootClock of the system. It returns the time since boot.
func BootTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(now.Nano()), nil
}

const (
	// maxReadingTime is how long it may take to read both clocks: if the process is paused
	// between the readings, their difference means nothing. maxReadings is how often the clocks
	// are read at most, until one pair of readings is fast enough.
	maxReadingTime = 5 * time.Millisecond
	maxReadings    = 5
)

var errNotComparable = errors.New("the clocks can't be read close enough to each other")

// Detector measures suspensions by comparing the monotonic clock with a BootClock.
type Detector struct {
	clock     damsonwinch.Clock
	boot      BootClock
	startedAt time.Time
	// startLead is the result of lead at startedAt.
	startLead time.Duration
}

// New returns a detector that measures from now on. It returns an error if the clocks can't be read.
func New(clock damsonwinch.Clock, boot BootClock) (*Detector, error) {
	d := &Detector{clock: clock, boot: boot, startedAt: clock.Now()}
	startLead, err := d.lead()
	d.startLead = startLead
	return d, err
}

// SuspendedTime returns the total time for which the machine has been suspended since New was called,
// and 0 if the clocks can't be read.
func (d *Detector) SuspendedTime() time.Duration {
	lead, err := d.lead()
	if err != nil {
		return 0
	}
	return max(0, lead-d.startLead)
}

// lead returns the reading of the boot clock minus the time that the monotonic clock has counted since
// startedAt. Only a suspension changes the result.
func (d *Detector) lead() (time.Duration, error) {
	for range maxReadings {
		before := d.clock.Since(d.startedAt)
		boot, err := d.boot()
		if err != nil {
			return 0, err
		}
		if d.clock.Since(d.startedAt)-before <= maxReadingTime {
			return boot - before, nil
		}
	}
	return 0, errNotComparable
}
