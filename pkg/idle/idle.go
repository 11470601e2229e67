// Package idle limits how long a call may go without progress. A limit on the duration of the whole
// call would limit the size of its response: a large response would never get through a slow link,
// however often the call is retried.
package idle

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch"
)

// ErrTimeout is the cause with which a context is cancelled if its call makes no progress. It wraps
// context.DeadlineExceeded.
var ErrTimeout = fmt.Errorf("no progress: %w", context.DeadlineExceeded)

// watchdogKey is the context key of a watchdog.
type watchdogKey struct{}

// watchdog cancels a context unless progress is reported to it in time.
type watchdog struct {
	timer clockwork.Timer
	// startTimeout bounds the time until the response starts to arrive, and gapTimeout the time
	// between two parts of it.
	startTimeout time.Duration
	gapTimeout   time.Duration
	// responseStarted is set once the response has started to arrive.
	responseStarted atomic.Bool
	// outer is the watchdog of the parent context, or nil.
	outer *watchdog
}

// WithTimeout returns a context for one call. It is cancelled with ErrTimeout if the response doesn't
// start to arrive within startTimeout after the last part of the call was sent. After that it is
// cancelled if no further part arrives for gapTimeout. Sent and Received report progress to the context.
// Only ctx limits the duration of the whole call. The caller must call the cancel function.
func WithTimeout(ctx context.Context, clock damsonwinch.Clock, startTimeout, gapTimeout time.Duration) (context.Context, context.CancelCauseFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	outer, _ := ctx.Value(watchdogKey{}).(*watchdog)
	w := &watchdog{startTimeout: startTimeout, gapTimeout: gapTimeout, outer: outer}
	w.timer = clock.AfterFunc(startTimeout, func() { cancel(ErrTimeout) })
	stop := func(cause error) {
		w.timer.Stop()
		cancel(cause)
	}
	return context.WithValue(limited, watchdogKey{}, w), stop
}

// Sent reports to the context of a call, and to the contexts from which it is derived, that a part of
// the call has been sent.
func Sent(ctx context.Context) {
	for w := watchdogOf(ctx); w != nil; w = w.outer {
		w.timer.Reset(w.startTimeout)
	}
}

// Received reports to the context of a call, and to the contexts from which it is derived, that a
// part of the response has arrived.
func Received(ctx context.Context) {
	for w := watchdogOf(ctx); w != nil; w = w.outer {
		w.responseStarted.Store(true)
		w.timer.Reset(w.gapTimeout)
	}
}

// ResponseStarted reports whether the response to a call has started to arrive.
func ResponseStarted(ctx context.Context) bool {
	w := watchdogOf(ctx)
	return w != nil && w.responseStarted.Load()
}

// watchdogOf returns the watchdog of ctx or of the nearest context from which it is derived, or nil.
func watchdogOf(ctx context.Context) *watchdog {
	w, _ := ctx.Value(watchdogKey{}).(*watchdog)
	return w
}
