package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/deadline"
	"damsonwinch/pkg/idle"
)

// Times of calls to endpoints and to the control of boxes.
const (
	// orderTimeout is given to an order at an endpoint, which answers in a few
	// milliseconds when it is well.
	orderTimeout = 500 * time.Millisecond
	// adviceTimeout is given to a call for permits: the service takes its time for
	// each endpoint, and one call after the other.
	adviceTimeout = 5 * time.Second
	// lookMargin is added to a look's own wait.
	lookMargin = 500 * time.Millisecond
	// boxesTimeout is how long a reading of the list of boxes, which is as large as the
	// fleet, may be silent, and boxesPause stands between two.
	boxesTimeout = time.Second
	boxesPause   = 400 * time.Millisecond
)

// carryOut does what the cell has decided. It says whether the cell is lost.
func (o *Owner) carryOut() bool {
	effects := o.cell.TakeEffects()
	for _, note := range effects.LogLines {
		o.log(note)
	}
	for _, reply := range effects.Replies {
		if call, waits := o.calls[reply.CallID]; waits {
			call <- reply.Reply
			delete(o.calls, reply.CallID)
		}
	}
	if effects.OwnershipLost {
		return true
	}
	if effects.Commit != nil {
		o.commit(*effects.Commit)
	}
	for _, start := range effects.Starts {
		o.start(start)
	}
	for _, stop := range effects.Stops {
		o.stop(stop)
	}
	for _, pace := range effects.SpeedChanges {
		o.pace(pace)
	}
	for _, look := range effects.Polls {
		o.look(look)
	}
	for _, ask := range effects.PermitRequests {
		o.seek(ask)
	}
	if effects.ListBoxes {
		o.askBoxes()
	}
	return false
}

func (o *Owner) log(note cell.LogLine) {
	fields := logrus.Fields{}
	for name, value := range map[string]string{"queue": note.Queue, "customer": note.Customer, "job": note.Job, "task": note.Task, "endpoint": note.Endpoint, "why": note.Reason} {
		if value != "" {
			fields[name] = value
		}
	}
	line := o.deps.Logger.WithFields(fields)
	if note.Debug {
		line.Debug(note.Message)
		return
	}
	line.Info(note.Message)
}

// commit appends to the cell's stream until that is done.
func (o *Owner) commit(commit cell.Commit) {
	batches := commit.Batches(o.options.MaxAppendBytes)
	fences := make([]damsonwinch.Fence, len(batches))
	for number := range batches {
		fences[number] = o.writer.Next()
	}
	begun := o.deps.Clock.Now()
	o.group.Go(func() error {
		for number, records := range batches {
			if err := o.writer.Append(o.ctx, records, fences[number]); err != nil {
				// Ends the owner: what it decided from here on could not be kept.
				return err
			}
		}
		o.deps.Metrics.Observe("commit", o.deps.Clock.Since(begun))
		o.send(committed{number: commit.Number})
		return nil
	})
}

// within returns the context of a call at an endpoint that begins now.
func (o *Owner) within(limit time.Duration) context.Context {
	return deadline.With(o.ctx, o.deps.Clock.Now().Add(limit))
}

func (o *Owner) start(start cell.Start) {
	o.calling.Go(func() {
		err := o.deps.Endpoints.Start(o.within(orderTimeout), start.Endpoint, start.Request)
		o.send(started{endpoint: start.Endpoint.Life, run: start.Request.Run, err: err})
	})
}

func (o *Owner) stop(stop cell.Stop) {
	o.calling.Go(func() {
		err := o.deps.Endpoints.Stop(o.within(orderTimeout), stop.Endpoint, stop.Request)
		o.send(stopped{endpoint: stop.Endpoint.Life, run: stop.Request.Run, err: err})
	})
}

func (o *Owner) pace(pace cell.SpeedChange) {
	o.calling.Go(func() {
		err := o.deps.Endpoints.SetSpeed(o.within(orderTimeout), pace.Endpoint, pace.Request)
		o.send(paced{endpoint: pace.Endpoint.Life, run: pace.Request.Run, err: err})
	})
}

func (o *Owner) seek(ask cell.PermitRequest) {
	sentAt := o.deps.Clock.Now()
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
		defer cancel()
		permits, valid, err := o.deps.Advisor.Advise(ctx, ask.Job, ask.Round, ask.Phase, ask.Endpoints)
		o.send(advised{ask: ask, sentAt: sentAt, permits: permits, valid: valid, err: err})
		return nil
	})
}

func (o *Owner) look(look cell.Poll) {
	o.calling.Go(func() {
		found, err := o.deps.Endpoints.Poll(o.within(look.Request.MaxWait+lookMargin), look.Endpoint, look.Request)
		o.send(looked{endpoint: look.Endpoint.Life, number: look.Number, look: found, err: err})
	})
}

// askBoxes reads the list of boxes, unless it was read just now.
func (o *Owner) askBoxes() {
	now := o.deps.Clock.Now()
	if o.boxesOut || now.Sub(o.boxesAt) < boxesPause {
		return
	}
	o.boxesOut, o.boxesAt = true, now
	o.group.Go(func() error {
		ctx, cancel := idle.WithTimeout(o.ctx, o.deps.Clock, boxesTimeout, boxesTimeout)
		defer cancel(nil)
		boxes, err := o.deps.Fleet.Boxes(ctx)
		o.send(boxesListed{boxes: boxes, err: err})
		return nil
	})
}
