package stream

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch"
)

// Small appends are hedged requests (Dean and Barroso, 2013): if a try isn't answered soon, the append
// is sent again while the first try is still in flight. Without hedging, half of the jobs were late when
// three in ten responses of the store were lost for 5 s: each commit waited 0.25 s or more for the next try.
const (
	// minHedgeDelay is the shortest time between two tries while none has been answered. The store
	// answers within 5 ms, and a busy node takes 20 ms to read the response.
	minHedgeDelay = 40 * time.Millisecond
	// hedgeDelayFactor times the usual duration of successful tries replaces minHedgeDelay if that product
	// is longer. A store that becomes slow thus gets additional tries in the first appends and none later,
	// and a single late response doesn't delay the hedging of the next append.
	hedgeDelayFactor = 4
	// maxConcurrentTries bounds the tries in flight. If three in ten responses are lost, three tries
	// are all lost in 3 of 100 calls.
	maxConcurrentTries = 3
	// maxHedgedBytes bounds the size of the records of a hedged append. That many bytes take 60 ms on
	// a link of 2 Mbit/s; larger appends that are sent twice would fill such a link.
	maxHedgedBytes = 16 << 10
)

// sizeInBytes returns the total length of the records' keys and values.
func sizeInBytes(records []damsonwinch.Record) int {
	bytes := 0
	for _, record := range records {
		bytes += len(record.Key) + len(record.Value)
	}
	return bytes
}

// hedge makes a call, with up to maxConcurrentTries tries in flight at once, until a try succeeds, the
// stream has a newer owner or ctx ends. The call must be idempotent.
func (w *Writer) hedge(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var tries errgroup.Group
	defer func() {
		cancel()
		_ = tries.Wait()
		w.failedTries.Store(0)
	}()
	timeout := min(maxTimeout, max(minTimeout, timeoutFactor*time.Duration(w.lastDuration.Load())))
	hedgeDelay, retryDelay := max(minHedgeDelay, hedgeDelayFactor*time.Duration(w.usualDuration.Load())), minRetryDelay
	results := make(chan error, maxConcurrentTries)
	timer := w.deps.Clock.NewTimer(0)
	defer timer.Stop()
	for inFlight := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
			if inFlight > 0 {
				w.deps.Metrics.Add("store_hedges", 1)
			}
			inFlight++
			limit := timeout
			tries.Go(func() error {
				results <- w.try(ctx, limit, call)
				return nil
			})
			timeout = min(2*timeout, maxTimeout)
			if inFlight < maxConcurrentTries {
				timer.Reset(hedgeDelay)
				hedgeDelay *= 2
			}
		case err := <-results:
			inFlight--
			if done, err := w.checkResult(ctx, err); done {
				return err
			}
			timer.Reset(retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}
