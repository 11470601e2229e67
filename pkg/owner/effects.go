package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/deadline"
	"damsonwinch/pkg/idle"
)

// Timeouts and intervals of the calls that an owner makes.
const (
	// requestTimeout bounds a request to start or stop a run or to set its speed. A healthy endpoint
	// answers in a few milliseconds.
	requestTimeout = 500 * time.Millisecond
	// pollTimeoutMargin is added to the MaxWait of a poll to get its timeout. MaxWait is how long the
	// endpoint may hold the poll.
	pollTimeoutMargin = 500 * time.Millisecond
	// boxListTimeout is how long a request for the list of boxes may go without progress. The duration
	// of the whole request isn't bounded, since the list grows with the fleet. boxListInterval is the
	// shortest time between two requests.
	boxListTimeout  = time.Second
	boxListInterval = 400 * time.Millisecond
	// plannerSilence is how long the fleet planner must not have called until an owner requests the list
	// of boxes itself. The planner reads the list all the time and says which endpoints have exited. A list
	// for each cell of a zone that is cut off grows with cells times boxes.
	plannerSilence = time.Second
)

// executeEffects carries out what the cell has decided since the last call. It returns true if the cell
// may have a newer owner. It then appends no records and sends no requests.
func (o *Owner) executeEffects() bool {
	effects := o.cell.TakeEffects()
	for _, line := range effects.LogLines {
		o.log(line)
	}
	for _, reply := range effects.Replies {
		if call, waiting := o.pendingCalls[reply.CallID]; waiting {
			call <- reply.Reply
			delete(o.pendingCalls, reply.CallID)
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
	for _, change := range effects.SpeedChanges {
		o.setSpeed(change)
	}
	for _, poll := range effects.Polls {
		o.poll(poll)
	}
	if effects.PermitTurn {
		o.requestPermits()
	}
	if effects.ListBoxes {
		o.listBoxes()
	}
	return false
}

// log writes a log line of the cell. It leaves out fields that are empty.
func (o *Owner) log(line cell.LogLine) {
	fields := logrus.Fields{}
	for name, value := range map[string]string{"queue": line.Queue, "customer": line.Customer, "job": line.Job, "task": line.Task, "endpoint": line.Endpoint, "zone": line.Zone, "why": line.Reason} {
		if value != "" {
			fields[name] = value
		}
	}
	entry := o.deps.Logger.WithFields(fields)
	if line.Debug {
		entry.Debug(line.Message)
		return
	}
	entry.Info(line.Message)
}

// commit appends the records of a commit to the cell's stream in the background. The writer retries until
// they are stored or the owner stops.
func (o *Owner) commit(commit cell.Commit) {
	batches := cellrecord.Batches(commit.Records, o.options.MaxAppendBytes)
	fences := make([]damsonwinch.Fence, len(batches))
	for number := range batches {
		fences[number] = o.writer.NextFence()
	}
	startedAt := o.deps.Clock.Now()
	o.group.Go(func() error {
		for number, records := range batches {
			if err := o.writer.Append(o.ctx, records, fences[number]); err != nil {
				// The error stops the owner: it could not store any later decision.
				return err
			}
		}
		o.deps.Metrics.Observe("commit", o.deps.Clock.Since(startedAt))
		o.send(committed{number: commit.Number})
		return nil
	})
}

// requestContext returns the context of a request to an endpoint that starts now.
func (o *Owner) requestContext(timeout time.Duration) context.Context {
	return deadline.With(o.ctx, o.deps.Clock.Now().Add(timeout))
}

// start sends a request to start a run. Its result reaches the inbox as a started message.
func (o *Owner) start(start cell.Start) {
	o.requestPool.Go(func() {
		err := o.deps.Endpoints.Start(o.requestContext(requestTimeout), start.Endpoint, start.Request)
		o.send(started{endpoint: start.Endpoint.Life, run: start.Request.Run, err: err})
	})
}

// stop sends a request to stop a run. Its result reaches the inbox as a stopped message.
func (o *Owner) stop(stop cell.Stop) {
	o.requestPool.Go(func() {
		err := o.deps.Endpoints.Stop(o.requestContext(requestTimeout), stop.Endpoint, stop.Request)
		o.send(stopped{endpoint: stop.Endpoint.Life, run: stop.Request.Run, err: err})
	})
}

// setSpeed sends a request to set the speed of a run. Its result reaches the inbox as a speedSet message.
func (o *Owner) setSpeed(change cell.SpeedChange) {
	o.requestPool.Go(func() {
		err := o.deps.Endpoints.SetSpeed(o.requestContext(requestTimeout), change.Endpoint, change.Request)
		o.send(speedSet{endpoint: change.Endpoint.Life, run: change.Request.Run, err: err})
	})
}

// poll polls an endpoint. The reply reaches the inbox as a polled message.
func (o *Owner) poll(poll cell.Poll) {
	o.requestPool.Go(func() {
		reply, err := o.deps.Endpoints.Poll(o.requestContext(poll.Request.MaxWait+pollTimeoutMargin), poll.Endpoint, poll.Request)
		o.send(polled{endpoint: poll.Endpoint.Life, number: poll.Number, reply: reply, err: err})
	})
}

// listBoxes requests the platform's list of boxes, unless a request is in flight or was sent less than
// boxListInterval ago, or the fleet planner calls.
func (o *Owner) listBoxes() {
	now := o.deps.Clock.Now()
	if o.boxListInFlight || now.Sub(o.boxesRequestedAt) < boxListInterval || now.Sub(o.plannerCalledAt) < plannerSilence {
		return
	}
	o.boxListInFlight, o.boxesRequestedAt = true, now
	o.group.Go(func() error {
		ctx, cancel := idle.WithTimeout(o.ctx, o.deps.Clock, boxListTimeout, boxListTimeout)
		defer cancel(nil)
		boxes, err := o.deps.Fleet.Boxes(ctx)
		o.send(boxesListed{boxes: boxes, requestedAt: now, err: err})
		return nil
	})
}
