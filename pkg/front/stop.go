package front

import (
	"context"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// Times of a planned stop.
const (
	// mostHandover bounds the hand-over of boxes; when the log is down it can't
	// be recorded and the boxes are freed by the rule for ended senders.
	mostHandover = 20 * time.Second
	pollStop     = 20 * time.Millisecond
	// handoverParts is the part of its boxes that an entry hands over at once, so
	// that their pools keep most of their slots.
	handoverParts = 4
)

// Stop ends the entry without cutting a request: it tells the balancer, hands
// its boxes over, waits until every request in flight has ended, and closes.
// The context bounds the whole.
func (f *Front) Stop(ctx context.Context) error {
	f.stopping.Store(true)
	f.deps.Logger.Info("planned stop: the balancer is told")
	f.pause(ctx, milliseconds(f.deps.Settings.StopMs))
	f.post(leaveMessage{})
	limited, cancel := context.WithTimeout(ctx, mostHandover)
	f.await(limited, func(s standing) bool { return s.boxes == 0 })
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

func (f *Front) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-f.deps.Clock.After(wait):
	case <-ctx.Done():
	}
}

// await returns once a summary satisfies, or the context ends.
func (f *Front) await(ctx context.Context, satisfied func(standing) bool) {
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

// handovers proposes to pass boxes with nothing in flight to other senders, a
// part of them at a time. A box that is picked gets no new work meanwhile.
func (f *Front) handovers(now time.Time) []wire.Proposal {
	heirs := f.heirs()
	if len(heirs) == 0 {
		return nil
	}
	most := 1 + len(f.boxes)/handoverParts
	var proposals []wire.Proposal
	for _, box := range f.boxes {
		if len(proposals) >= most {
			break
		}
		if box.inUse > 0 || now.Before(box.mayRunUntil) || now.Sub(box.asked) < askAgain || box.Phase != fold.Serving {
			continue
		}
		box.asked = now
		box.givenUp = true
		heir := heirs[len(proposals)%len(heirs)]
		proposal := f.proposal(wire.KindHandover, box, "its sender stops as planned")
		proposal.Change.ToNode, proposal.Change.ToEntry = heir.Key.Node, heir.Key.Entry
		proposals = append(proposals, proposal)
	}
	return proposals
}

// heirs returns the other senders of the hall that renew, or else of any hall.
func (f *Front) heirs() []fold.Sender {
	var near, far []fold.Sender
	for _, sender := range f.state.Senders() {
		fresh := sender.RenewedAt >= f.state.At()-f.deps.Settings.LeaseMs
		if sender.Key == f.key || sender.Leaving || !fresh {
			continue
		}
		far = append(far, sender)
		if sender.Hall == f.deps.Settings.Hall {
			near = append(near, sender)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}
