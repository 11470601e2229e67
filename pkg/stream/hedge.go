package stream

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch"
)

// Hedged requests (Dean and Barroso, 2013): an append that isn't answered is sent again
// beside the first try. While three in ten answers of the store were lost, for 5 s, each
// commit waited 0.25 s or more for the next try, and half of the jobs were late.
const (
	// leastHedgeTime is how long a try is waited for before there is another one: the store
	// answers in 5 ms, and a busy node takes 20 to read it.
	leastHedgeTime = 40 * time.Millisecond
	// hedgeTimes is how many times as long as the last answered try that may be at least, so
	// that a slow store gets one call more at first and none later.
	hedgeTimes = 4
	// mostTries bounds the tries on their way: three in a hundred are all lost then.
	mostTries = 3
	// mostHedgedBytes bounds the records that are sent again beside themselves. They take
	// 60 ms on a link of 2 Mbit/s, which sending larger ones twice would fill.
	mostHedgedBytes = 16 << 10
)

func bytesOf(records []damsonwinch.Record) int {
	bytes := 0
	for _, record := range records {
		bytes += len(record.Key) + len(record.Value)
	}
	return bytes
}

// hedge makes a call that may be carried out more than once, until a try is answered.
func (w *Writer) hedge(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	var tries errgroup.Group
	defer func() {
		cancel()
		_ = tries.Wait()
		w.failed.Store(0)
	}()
	took := time.Duration(w.took.Load())
	timeout, gap, pause := min(mostTimeout, max(leastTimeout, usualTimes*took)), max(leastHedgeTime, hedgeTimes*took), leastPause
	answers := make(chan error, mostTries)
	next := w.deps.Clock.NewTimer(0)
	defer next.Stop()
	for under := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next.Chan():
			if under > 0 {
				w.deps.Metrics.Add("store_hedges", 1)
			}
			under++
			limit := timeout
			tries.Go(func() error {
				answers <- w.try(ctx, limit, call)
				return nil
			})
			timeout = min(2*timeout, mostTimeout)
			if under < mostTries {
				next.Reset(gap)
				gap *= 2
			}
		case err := <-answers:
			under--
			if over, err := w.judge(ctx, err); over {
				return err
			}
			next.Reset(pause)
			pause = min(2*pause, mostPause)
		}
	}
}
