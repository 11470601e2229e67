package front

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// maxHandoverWait bounds the hand-over of boxes; when the log is down it can't
	// be recorded and the boxes are freed by the rule for ended senders.
	maxHandoverWait  = 20 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// Stop ends the entry without cutting a request: it tells the balancer, hands
// its boxes over, waits until every request in flight has ended, and closes.
// The context bounds the whole.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.deps.Logger.Info("planned stop: the balancer is told")
	e.sleep(ctx, milliseconds(e.deps.Settings.StopMs))
	e.post(leaveMessage{})
	limited, cancel := context.WithTimeout(ctx, maxHandoverWait)
	e.waitUntil(limited, func(s summary) bool { return s.boxes == 0 || s.successors == 0 })
	cancel()
	// Shutdown refuses new connections and waits for the callers' requests.
	err := e.httpServer.Shutdown(ctx)
	e.waitUntil(ctx, func(s summary) bool { return s.inUse == 0 && s.waiting == 0 })
	e.deps.Logger.Info("planned stop: nothing is in flight")
	if closed := e.Close(); err == nil {
		err = closed
	}
	return err
}

func (e *Entry) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-e.deps.Clock.After(wait):
	case <-ctx.Done():
	}
}

// waitUntil returns once a summary satisfies, or the context ends.
func (e *Entry) waitUntil(ctx context.Context, satisfied func(summary) bool) {
	for ctx.Err() == nil {
		reply := make(chan summary, 1)
		if !e.post(summaryMessage{reply: reply}) {
			return
		}
		select {
		case summary := <-reply:
			if satisfied(summary) {
				return
			}
		case <-e.ctx.Done():
			return
		}
		e.sleep(ctx, stopPollInterval)
	}
}
