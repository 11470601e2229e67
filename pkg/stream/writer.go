// Package stream writes the stream of a cell's records for the node that owns the cell.
// The store refuses what an earlier owner still sends, and takes nothing twice.
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

// Times of calls to the store.
const (
	// leastTimeout is how long a call may be silent at first, and doubled with each try:
	// the store answers in about 5 ms, and in 70 times that on a slow day. While a call
	// makes progress it may go on: 2 MB of records need 1.6 s on a link of 10 Mbit/s.
	leastTimeout = 250 * time.Millisecond
	// mostTimeout bounds it. A call that was sent while the store was silent is not
	// answered any more when it is back, so that this is how late that is noticed.
	mostTimeout = 800 * time.Millisecond
	// usualTimes is how many times as long as the last call the next one may take.
	usualTimes = 2
	leastPause = 30 * time.Millisecond
	mostPause  = 120 * time.Millisecond
)

// ErrOwnershipLost says that a newer owner has written to the stream.
var ErrOwnershipLost = errors.New("a newer owner has taken the cell over")

// Deps are what a writer works with.
type Deps struct {
	Store   damsonwinch.Store
	Clock   damsonwinch.Clock
	Metrics *metrics.Set
}

// Writer writes one stream under the epoch of a claim. Next is called by one goroutine;
// appends may run in others.
type Writer struct {
	deps     Deps
	stream   damsonwinch.Stream
	producer string
	epoch    int
	sequence int
	// took is how long the last call took, in nanoseconds, and failed how many tries of the
	// present one have not been answered, or not with yes.
	took   atomic.Int64
	failed atomic.Int64
}

// New returns a writer that has written nothing yet.
func New(deps Deps, stream damsonwinch.Stream, producer string, epoch int) *Writer {
	return &Writer{deps: deps, stream: stream, producer: producer, epoch: epoch}
}

// TakeOver keeps earlier owners out of the stream and returns the newest record of each
// of its keys.
func (w *Writer) TakeOver(ctx context.Context) ([]damsonwinch.Record, error) {
	if err := w.Append(ctx, nil, w.fence()); err != nil {
		return nil, err
	}
	scan := feed.NewScan(w.deps.Store, w.deps.Clock, w.stream)
	err := w.insist(ctx, scan.Run)
	records, _, _ := scan.Records()
	return records, err
}

// FailedTries returns how many tries of the call that is on its way have failed.
func (w *Writer) FailedTries() int {
	return int(w.failed.Load())
}

// NextFence returns the fence of the next append, which must follow the last one.
func (w *Writer) NextFence() damsonwinch.Fence {
	w.sequence++
	return w.fence()
}

func (w *Writer) fence() damsonwinch.Fence {
	return damsonwinch.Fence{Producer: w.producer, Epoch: w.epoch, Sequence: w.sequence}
}

// Append adds records, trying again until that is done, the owner is deposed or the
// context ends. Its fence keeps a try that was carried out from counting twice.
func (w *Writer) Append(ctx context.Context, records []damsonwinch.Record, fence damsonwinch.Fence) error {
	call := func(ctx context.Context) error {
		_, err := w.deps.Store.Append(ctx, w.stream, records, fence)
		return err
	}
	if bytesOf(records) > mostHedgedBytes {
		return w.insist(ctx, call)
	}
	return w.hedge(ctx, call)
}

// insist repeats a call to the store until it is done or can't be any more.
func (w *Writer) insist(ctx context.Context, call func(ctx context.Context) error) error {
	timeout := min(mostTimeout, max(leastTimeout, usualTimes*time.Duration(w.took.Load())))
	pause := leastPause
	defer w.failed.Store(0)
	for {
		if over, err := w.judge(ctx, w.try(ctx, timeout, call)); over {
			return err
		}
		if err := w.sleep(ctx, pause); err != nil {
			return err
		}
		timeout, pause = min(2*timeout, mostTimeout), min(2*pause, mostPause)
	}
}

// try makes a call once, for as long as it makes progress.
func (w *Writer) try(ctx context.Context, timeout time.Duration, call func(ctx context.Context) error) error {
	begun := w.deps.Clock.Now()
	limited, cancel := idle.WithTimeout(ctx, w.deps.Clock, timeout, timeout)
	defer cancel(nil)
	err := call(limited)
	if err == nil {
		w.took.Store(int64(w.deps.Clock.Since(begun)))
	}
	return err
}

// judge tells whether a call is over with what a try of it gave, and what it comes to.
func (w *Writer) judge(ctx context.Context, err error) (bool, error) {
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, damsonwinch.ErrFenced), errors.Is(err, damsonwinch.ErrOutOfSequence):
		return true, fmt.Errorf("%w: %w", ErrOwnershipLost, err)
	case ctx.Err() != nil:
		return true, ctx.Err()
	}
	w.failed.Add(1)
	w.deps.Metrics.Add("store_retries", 1)
	return false, nil
}

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
