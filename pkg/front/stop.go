package front

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// mostHandover bounds the hand-over of boxes; when the log is down it can't
	// be recorded and the boxes are freed by the rule for ended senders.
	mostHandover = 20 * time.Second
	pollStop     = 20 * time.Millisecond
)

// Stop ends the entry without cutting a request: it tells the balancer, hands
// its boxes over, waits until every request in flight has ended, and closes.
// The context bounds the whole.
func (f *Entry) Stop(ctx context.Context) error {
	f.stopping.Store(true)
	f.deps.Logger.Info("planned stop: the balancer is told")
	f.pause(ctx, milliseconds(f.deps.Settings.StopMs))
	f.post(leaveMessage{})
	limited, cancel := context.WithTimeout(ctx, mostHandover)
	f.await(limited, func(s standing) bool { return s.boxes == 0 || s.heirs == 0 })
	cancel()
	// Shutdown refuses new connections and waits for the callers' requests.
	err := f.http.Shutdown(ctx)
	f.await(ctx, func(s standing) bool { return s.inUse == 0 && s.waiting == 0 })
	f.deps.Logger.Info("planned stop: nothing is in flight")
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

func (f *Entry) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-f.deps.Clock.After(wait):
	case <-ctx.Done():
	}
}

// await returns once a summary satisfies, or the context ends.
func (f *Entry) await(ctx context.Context, satisfied func(standing) bool) {
	for ctx.Err() == nil {
		reply := make(chan standing, 1)
		if !f.post(standingMessage{reply: reply}) {
			return
		}
		select {
		case summary := <-reply:
			if satisfied(summary) {
				return
			}
		case <-f.ctx.Done():
			return
		}
		f.pause(ctx, pollStop)
	}
}
