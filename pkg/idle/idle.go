// Package idle bounds calls by how long nothing of them comes or goes, where a bound on
// the whole call would be one on the size of what it carries: a large answer never comes
// through a slow link then, however often it is begun anew.
package idle

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"damsonwinch"
)

// ErrTimeout is the cause of the end of a context whose call has made no progress.
var ErrTimeout = fmt.Errorf("no progress: %w", context.DeadlineExceeded)

// watchKey is the key of a context's watch.
type watchKey struct{}

// watch ends a context unless it is told of progress.
type watch struct {
	timer clockwork.Timer
	first time.Duration
	next  time.Duration
	// answering says that the answer has begun to come.
	answering atomic.Bool
	// outer is the watch of the context from which this one was made.
	outer *watch
}

// WithTimeout returns a context that ends when the answer to a call hasn't begun within a
// time after the call was sent, or when nothing more of it comes for another time. The
// context ends the call's whole time only through ctx. The cancel function must be called.
func WithTimeout(ctx context.Context, clock damsonwinch.Clock, first, next time.Duration) (context.Context, context.CancelCauseFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	outer, _ := ctx.Value(watchKey{}).(*watch)
	w := &watch{first: first, next: next, outer: outer}
	w.timer = clock.AfterFunc(first, func() { cancel(ErrTimeout) })
	stop := func(cause error) {
		w.timer.Stop()
		cancel(cause)
	}
	return context.WithValue(limited, watchKey{}, w), stop
}

// Sent tells the context of a call that a part of the call has been sent.
func Sent(ctx context.Context) {
	for w := watchOf(ctx); w != nil; w = w.outer {
		w.timer.Reset(w.first)
	}
}

// Received tells the context of a call that a part of the answer has come.
func Received(ctx context.Context) {
	for w := watchOf(ctx); w != nil; w = w.outer {
		w.answering.Store(true)
		w.timer.Reset(w.next)
	}
}

// AnswerStarted says whether the answer to a call has begun to come.
func AnswerStarted(ctx context.Context) bool {
	w := watchOf(ctx)
	return w != nil && w.answering.Load()
}

func watchOf(ctx context.Context) *watch {
	w, _ := ctx.Value(watchKey{}).(*watch)
	return w
}
