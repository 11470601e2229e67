package cell

import (
	"errors"
	"fmt"
	"time"

	"damsonwinch"
)

// Started handles the reply to a start request that was sent to life, or the error that the request failed with. Meanwhile
// the run may have been assigned to a later life.
func (c *Cell) Started(now time.Time, life damsonwinch.Life, id damsonwinch.Run, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	r := c.findRun(life, id)
	if r == nil || r.state != runRequested && !r.startOverdue {
		return
	}
	if called := c.endpoints[life]; called != nil {
		c.noteStartAnswer(called, now.Sub(r.startedAt), err)
	}
	if r.startOverdue {
		r.startOverdue = false
		c.overdueStartReturned(life, r, err)
		return
	}
	switch {
	case errors.Is(err, damsonwinch.ErrNotSent):
		c.startNotSent(life, r, err)
	case err == nil:
		c.startAccepted(r)
		if r.stopping {
			c.stop(r, "requested before it began")
		}
	case isStartRefusal(err):
		c.startRefused(life, r, err)
	default:
		r.state = runUncertain
		c.logRun("start unanswered", r, err.Error())
		c.requestPoll(r.endpoint)
		if spec := r.task.phase.spec; spec.Lasting && !spec.Gang && !r.stopping {
			// A poll shows first whether the run exists. If so, the run isn't stopped.
			r.listedAfterStep = c.step
			return
		}
		c.stopUnanswered(r)
	}
}

// noteStartAnswer notes what the reply to a start request, or its error, says of the endpoint that was called.
func (c *Cell) noteStartAnswer(called *endpoint, took time.Duration, err error) {
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.addressAnswered(called)
	case err == nil, isStartRefusal(err):
		c.endpointAnswered(called)
		c.observeAnswer(called, took)
	}
}

// overdueStartReturned handles the reply to a start request that came after the usual time, or the error that the
// request failed with. A poll may have shown meanwhile that the run exists.
func (c *Cell) overdueStartReturned(life damsonwinch.Life, r *run, err error) {
	if r.state != runUncertain {
		return
	}
	switch {
	case errors.Is(err, damsonwinch.ErrNotSent):
		c.startNotSent(life, r, err)
	case err == nil:
		c.startAccepted(r)
		switch {
		case r.task.phase.job().ended() || r.task.done:
			c.stop(r, "its job has ended")
		case r.keepIfListed && !r.stopConfirmed:
			// A stop that is on its way may still end the run. Its result then shows that.
			r.stopping, r.keepIfListed = false, false
		}
	case isStartRefusal(err) && !r.stopping:
		c.startRefused(life, r, err)
	case !r.stopping && (!r.task.phase.spec.Lasting || r.task.phase.spec.Gang):
		// Neither the start nor a poll has been answered.
		c.stopUnanswered(r)
	}
}

// startAccepted notes that an endpoint has accepted the start of a run.
func (c *Cell) startAccepted(r *run) {
	c.confirm(r)
	r.task.phase.job().begun = true
	if r.ticket != "" {
		r.task.phase.permits.Accepted()
	}
}

// confirm notes that a run exists: its endpoint has accepted or listed it.
func (c *Cell) confirm(r *run) {
	r.state, r.listedAfterStep, r.confirmedAt = runConfirmed, c.step, c.now
	r.endpoint.refusals = refusals{}
	r.task.forgetRefusals()
	c.slowNewFiller(r)
}

// isStartRefusal reports whether an error means that the endpoint has refused to start the run.
func isStartRefusal(err error) bool {
	for _, refusal := range []error{
		damsonwinch.ErrStaleToken, damsonwinch.ErrStaleRun, damsonwinch.ErrTooLate, damsonwinch.ErrNoCapacity, damsonwinch.ErrInvalidTicket,
		damsonwinch.ErrOtherLife, damsonwinch.ErrUnhealthy, damsonwinch.ErrInvalid,
	} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// isStateRefusal reports whether an endpoint has refused a start because of its health or capacity.
func isStateRefusal(err error) bool {
	return errors.Is(err, damsonwinch.ErrNoCapacity) || errors.Is(err, damsonwinch.ErrUnhealthy)
}

// startRefused removes a run that life has refused to start.
func (c *Cell) startRefused(life damsonwinch.Life, r *run, err error) {
	c.addExtraStarts(r.task, -1)
	c.noteTicketRefusal(r, err)
	c.logRun("start refused", r, c.noteRemoval(r, removal{reason: removedRefused, source: err.Error()}))
	defer c.stopGang(r.task.phase, "a member of its gang was refused")
	if !r.isOn(life) {
		c.requeueUnstarted(r)
		return
	}
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.requeueUnstarted(r)
		c.otherLifeAnswered(r.endpoint, r.startAddress, fmt.Sprintf("reply to the start of %s attempt %d: %v", r.id().Task, r.attempt, err))
		return
	case isStateRefusal(err):
		// The endpoint's free capacity or health differs from what the cell knows of it.
		r.endpoint.backoffUntil = c.now.Add(endpointBackoff)
		r.endpoint.refusals.add(c.now)
	}
	if errors.Is(err, damsonwinch.ErrInvalidTicket) {
		r.task.phase.permits.Refuse(c.now, life, r.ticket)
		c.requeueUnstarted(r)
		return
	}
	r.task.avoid = r.endpoint.info.Life
	c.noteRefusedBy(r.task, r.endpoint.info.Life, isStateRefusal(err))
	c.backOffTask(r.task)
	c.requeueUnstarted(r)
}

// noteTicketRefusal counts the refusal of a start for its ticket, and notes what it says of the job.
func (c *Cell) noteTicketRefusal(r *run, err error) {
	if !errors.Is(err, damsonwinch.ErrInvalidTicket) {
		return
	}
	c.stats.TicketsRefused++
	if r.ticket != "" {
		return
	}
	c.stats.TicketsMissing++
	j := r.task.phase.job()
	c.logRun("start without a ticket", r, fmt.Sprintf("queue %s known here %v", j.queue, c.queueOf(j) != nil))
	// It is so whatever is known of the queue: its tasks run only with permits.
	j.needsTickets = true
}

// startNotSent removes a run whose start request has certainly not reached life.
func (c *Cell) startNotSent(life damsonwinch.Life, r *run, err error) {
	c.logRun("start not sent", r, c.noteRemoval(r, removal{reason: removedNotSent, source: err.Error()}))
	c.addExtraStarts(r.task, -1)
	if r.isOn(life) {
		c.requestPoll(r.endpoint)
		r.endpoint.backoffUntil = c.now.Add(endpointBackoff)
	}
	c.requeueUnstarted(r)
	c.stopGang(r.task.phase, "a member of its gang could not be started")
}

// endpointBackoff is how long an endpoint that refused a task or couldn't be reached gets no
// further start requests. Several polls are answered within that time.
const endpointBackoff = 300 * time.Millisecond

// requeueUnstarted removes a run that has certainly not begun. Its task goes on waiting.
func (c *Cell) requeueUnstarted(r *run) {
	readySince := r.task.readySince
	c.requeue(r)
	r.task.readySince = readySince
}
