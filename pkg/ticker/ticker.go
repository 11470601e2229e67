// Package ticker provides a ticker with two intervals: a loop ticks often while it has work and
// seldom while it is idle, because idle ticks are most of what an idle process costs.
package ticker

import (
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch"
)

// Ticker ticks at a short interval while it is set to busy and at a long one otherwise.
type Ticker struct {
	ticker       clockwork.Ticker
	busyInterval time.Duration
	idleInterval time.Duration
	busy         bool
}

// New returns a ticker that is idle. If idleInterval is less than busyInterval, busyInterval is used
// for both.
func New(clock damsonwinch.Clock, busyInterval, idleInterval time.Duration) *Ticker {
	idleInterval = max(busyInterval, idleInterval)
	return &Ticker{ticker: clock.NewTicker(idleInterval), busyInterval: busyInterval, idleInterval: idleInterval}
}

// Chan returns the channel on which the ticks arrive.
func (t *Ticker) Chan() <-chan time.Time {
	return t.ticker.Chan()
}

// SetBusy selects the interval. If busy has changed, the next tick comes one new interval from now.
func (t *Ticker) SetBusy(busy bool) {
	if busy == t.busy {
		return
	}
	t.busy = busy
	if busy {
		t.ticker.Reset(t.busyInterval)
		return
	}
	t.ticker.Reset(t.idleInterval)
}

// Stop stops the ticker. It doesn't close the channel.
func (t *Ticker) Stop() {
	t.ticker.Stop()
}
