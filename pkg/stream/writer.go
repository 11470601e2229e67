// Package stream writes the stream of a cell's records for the node that owns the cell. The store
// refuses appends of earlier owners and carries out each append at most once.
package stream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/feed"
	"damsonwinch/pkg/idle"
	"damsonwinch/pkg/metrics"
)

const (
	// minTimeout bounds how long the first try of a call may go without progress. The limit doubles
	// with each further try. The store answers in about 5 ms, and takes 70 times as long on a slow
	// day. A try that makes progress has no limit: 2 MB of records need 1.6 s on a link of 10 Mbit/s.
	minTimeout = 250 * time.Millisecond
	// maxTimeout bounds the time without progress of any try. A try that is sent during an outage of
	// the store is never answered, so the writer may notice the end of the outage this late.
	maxTimeout = 800 * time.Millisecond
	// timeoutFactor times the duration of the last successful try is the timeout of the next call's
	// first try, within the limits above.
	timeoutFactor = 2
	// minRetryDelay is the delay after the first failed try; it doubles up to maxRetryDelay.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 120 * time.Millisecond
)

// ErrOwnershipLost means that a newer owner has written to the stream.
var ErrOwnershipLost = errors.New("a newer owner has taken the cell over")

// Deps holds the dependencies of a writer.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Metrics *metrics.Set
}

// Writer writes one stream under the epoch of a claim. Only one goroutine may call NextFence. Several
// goroutines may call Append at once.
type Writer struct {
	deps     Deps
	stream   damsonwinch.Stream
	producer string
	epoch    int
	sequence int
	// lastDuration is how long the last successful try took, in nanoseconds, and usualDuration the same
	// without single late responses. failedTries is how many tries of the call in flight have failed.
	lastDuration  atomic.Int64
	usualDuration atomic.Int64
	failedTries   atomic.Int64
}

// New returns a writer of a stream. Its fences contain the given producer and epoch.
func New(deps Deps, stream damsonwinch.Stream, producer string, epoch int) *Writer {
	return &Writer{deps: deps, stream: stream, producer: producer, epoch: epoch}
}

// TakeOver raises the epoch of the stream, so that the store refuses appends of earlier owners, and
// returns the newest record of each key. Call it before the first append.
func (w *Writer) TakeOver(ctx context.Context) ([]damsonwinch.Record, error) {
	if err := w.Append(ctx, nil, w.currentFence()); err != nil {
		return nil, err
	}
	scan := feed.NewScan(w.deps.Store, w.deps.Clock, w.stream)
	err := w.retry(ctx, scan.Run)
	records, _, _ := scan.Records()
	return records, err
}

// FailedTries returns how many tries of the call in flight have failed.
func (w *Writer) FailedTries() int {
	return int(w.failedTries.Load())
}

// NextFence returns the fence of the next append. Appends must reach the store in the order of their
// fences.
func (w *Writer) NextFence() damsonwinch.Fence {
	w.sequence++
	return w.currentFence()
}

// currentFence returns the fence with the current sequence number.
func (w *Writer) currentFence() damsonwinch.Fence {
	return damsonwinch.Fence{Producer: w.producer, Epoch: w.epoch, Sequence: w.sequence}
}

// Append adds records and retries until the append succeeds, a newer owner has written to the stream
// (ErrOwnershipLost) or ctx ends. Because of the fence the store carries out only one of the tries.
func (w *Writer) Append(ctx context.Context, records []damsonwinch.Record, fence damsonwinch.Fence) error {
	call := func(ctx context.Context) error {
		_, err := w.deps.Store.Append(ctx, w.stream, records, fence)
		return err
	}
	if sizeInBytes(records) > maxHedgedBytes {
		return w.retry(ctx, call)
	}
	return w.hedge(ctx, call)
}

// retry makes a call, one try after the other, until a try succeeds, the stream has a newer owner or ctx ends.
func (w *Writer) retry(ctx context.Context, call func(ctx context.Context) error) error {
	timeout := min(maxTimeout, max(minTimeout, timeoutFactor*time.Duration(w.lastDuration.Load())))
	retryDelay := minRetryDelay
	defer w.failedTries.Store(0)
	for {
		if done, err := w.checkResult(ctx, w.try(ctx, timeout, call)); done {
			return err
		}
		if err := w.sleep(ctx, retryDelay); err != nil {
			return err
		}
		timeout, retryDelay = min(2*timeout, maxTimeout), min(2*retryDelay, maxRetryDelay)
	}
}

// try makes a call once. It gives up if the call makes no progress for the timeout.
func (w *Writer) try(ctx context.Context, timeout time.Duration, call func(ctx context.Context) error) error {
	started := w.deps.Clock.Now()
	limited, cancel := idle.WithTimeout(ctx, w.deps.Clock, timeout, timeout)
	defer cancel(nil)
	err := call(limited)
	if err == nil {
		w.setDuration(w.deps.Clock.Since(started))
	}
	return err
}

// setDuration notes how long a successful try took. The usual duration at most doubles with each try.
func (w *Writer) setDuration(took time.Duration) {
	w.lastDuration.Store(int64(took))
	usual := max(time.Duration(w.usualDuration.Load()), minHedgeDelay/hedgeDelayFactor)
	w.usualDuration.Store(int64(min(took, 2*usual)))
}

// checkResult takes the error of a try, or nil. It reports whether the call is done, and then returns
// the error of the call. Otherwise it counts a failed try.
func (w *Writer) checkResult(ctx context.Context, err error) (bool, error) {
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, damsonwinch.ErrFenced), errors.Is(err, damsonwinch.ErrOutOfSequence):
		return true, fmt.Errorf("%w: %w", ErrOwnershipLost, err)
	case errors.Is(err, damsonwinch.ErrInvalid):
		// The records can't be encoded, and no further try would change that.
		return true, err
	case ctx.Err() != nil:
		return true, ctx.Err()
	}
	w.failedTries.Add(1)
	w.deps.Metrics.Add("store_retries", 1)
	return false, nil
}

// sleep waits for a time. It returns the error of ctx if ctx ends first.
func (w *Writer) sleep(ctx context.Context, length time.Duration) error {
	timer := w.deps.Clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}
