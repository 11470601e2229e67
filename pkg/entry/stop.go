package entry

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// maxHandoverWait bounds the wait until all boxes are handed over. If the log is down, handovers can't
	// be recorded; the boxes are then released like those of an entry that has exited.
	maxHandoverWait  = 20 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// Stop stops the entry as planned, without cutting off requests: it fails the load balancer's readiness
// checks for the time in Settings.StopMs, hands its boxes over to other entries, waits until no request is
// in flight, and closes. When ctx ends, it closes at once.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.deps.Logger.Info("planned stop: the balancer is told")
	e.sleep(ctx, milliseconds(e.deps.Settings.StopMs))
	e.post(leaveMessage{})
	limited, cancel := context.WithTimeout(ctx, maxHandoverWait)
	e.waitUntil(limited, func(s summary) bool { return s.boxes == 0 || s.successors == 0 })
	cancel()
	// Shutdown refuses new connections and waits until clients' requests have been answered.
	err := e.httpServer.Shutdown(ctx)
	e.waitUntil(ctx, func(s summary) bool { return s.inUse == 0 && s.waiting == 0 })
	e.deps.Logger.Info("planned stop: nothing is in flight")
	if closed := e.Close(); err == nil {
		err = closed
	}
	return err
}

// sleep waits for the given time or until ctx ends.
func (e *Entry) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-e.deps.Clock.After(wait):
	case <-ctx.Done():
	}
}

// waitUntil polls the loop's summary until satisfied returns true for it. It returns early if ctx ends
// or the entry stops.
func (e *Entry) waitUntil(ctx context.Context, satisfied func(summary) bool) {
	for ctx.Err() == nil {
		reply := make(chan summary, 1)
		if !e.post(summaryMessage{reply: reply}) {
			return
		}
		select {
		case current := <-reply:
			if satisfied(current) {
				return
			}
		case <-e.ctx.Done():
			return
		}
		e.sleep(ctx, stopPollInterval)
	}
}
