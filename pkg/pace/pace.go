// Package pace holds a ticker with two speeds: a task looks around often while it
// has something to do, and seldom otherwise, because an idle tick is most of what
// an idle process costs.
package pace

import (
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch"
)

// Ticker ticks fast or slow.
type Ticker struct {
	ticker clockwork.Ticker
	fast   time.Duration
	slow   time.Duration
	busy   bool
}

// New returns a ticker that ticks slowly.
func New(clock damsonwinch.Clock, fast, slow time.Duration) *Ticker {
	slow = max(fast, slow)
	return &Ticker{ticker: clock.NewTicker(slow), fast: fast, slow: slow}
}

// Chan returns the channel of ticks.
func (t *Ticker) Chan() <-chan time.Time {
	return t.ticker.Chan()
}

// SetBusy changes the speed.
func (t *Ticker) SetBusy(busy bool) {
	if busy == t.busy {
		return
	}
	t.busy = busy
	if busy {
		t.ticker.Reset(t.fast)
		return
	}
	t.ticker.Reset(t.slow)
}

// Stop ends the ticks.
func (t *Ticker) Stop() {
	t.ticker.Stop()
}
