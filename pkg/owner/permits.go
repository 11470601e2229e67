package owner

import (
	"context"
	"errors"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
)

// permitTurn says that the node has its turn at the advice service for this cell, and asks for the call to make.
type permitTurn struct{ reply chan<- permitCall }

// permitCall is the call for permits that a cell wants to make in its turn, if it wants to.
type permitCall struct {
	request cell.PermitRequest
	wanted  bool
}

func (m permitTurn) apply(o *Owner, now time.Time) {
	request, wanted := o.cell.NextPermitRequest(now)
	m.reply <- permitCall{request: request, wanted: wanted}
}

// advised is the result of a request for permits, which was sent at sentAt. They are valid for a time.
type advised struct {
	request  cell.PermitRequest
	sentAt   time.Time
	permits  []damsonwinch.Permit
	validFor time.Duration
	err      error
}

func (m advised) apply(o *Owner, now time.Time) {
	o.cell.Advised(now, m.sentAt, m.request, m.permits, m.validFor, m.err)
}

// requestPermits waits for the node's turn at the advice service and makes the call that the cell wants to make then. The
// permits reach the inbox as an advised message.
func (o *Owner) requestPermits() {
	o.group.Go(func() error {
		if o.deps.AdviceTurns.Take(o.ctx) != nil {
			// The owner stops.
			return nil
		}
		result, called := o.callInTurn()
		o.deps.AdviceTurns.Release()
		if called {
			o.send(result)
		}
		return nil
	})
}

// callInTurn makes the call that the cell wants to make now, if any, and reports whether it has made one.
func (o *Owner) callInTurn() (advised, bool) {
	reply := make(chan permitCall, 1)
	o.send(permitTurn{reply: reply})
	select {
	case next := <-reply:
		if !next.wanted {
			return advised{}, false
		}
		return o.callForPermits(next.request), true
	case <-o.ctx.Done():
		return advised{}, false
	}
}

// callForPermits calls the advice service.
func (o *Owner) callForPermits(request cell.PermitRequest) advised {
	ctx, cancel := context.WithTimeout(o.ctx, o.deps.AdviceTurns.Timeout(request.Needed))
	defer cancel()
	result := advised{request: request, sentAt: o.deps.Clock.Now()}
	result.permits, result.validFor, result.err = o.deps.Advisor.Advise(ctx, request.Job, request.Round, request.Phase, request.EndpointIDs())
	o.deps.AdviceTurns.Observe(!errors.Is(ctx.Err(), context.DeadlineExceeded))
	return result
}
