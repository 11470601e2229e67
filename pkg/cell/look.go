package cell

import (
	"errors"
	"slices"
	"time"

	"damsonwinch"
)

// looks are the questions to an endpoint that are on their way: at most one that
// waits for an end, and one that doesn't.
type looks struct {
	next    int
	waiting *sentLook
	quick   *sentLook
	// answered is the step at which the newest answered look was sent.
	answered int
	lastAt   time.Time
}

type sentLook struct {
	number int
	step   int
	at     time.Time
	// wait is how long it may wait for an end.
	wait time.Duration
}

// mostEnds is the most ends that an endpoint lists at once; others may follow.
const mostEnds = 500

// lookAround sends the looks that are due: at the endpoints that something has
// happened to and, from time to time, at all.
func (c *Cell) lookAround() {
	due := c.pollDue
	if c.pollAll {
		due = c.sortedEndpoints
	}
	for _, e := range due {
		e.lookDue = false
		if e.gone || e.info.Address == "" || (len(e.runs) == 0 && (!e.listed || e.withdraw.recorded)) {
			continue
		}
		c.lookAt(e)
	}
	c.pollDue, c.pollAll = c.pollDue[:0], false
}

// lookSoon notes that a look at an endpoint may be due.
func (c *Cell) lookSoon(e *endpoint) {
	if !e.lookDue {
		e.lookDue = true
		c.pollDue = append(c.pollDue, e)
	}
}

// wantLook asks for a look that doesn't wait.
func (c *Cell) wantLook(e *endpoint) {
	e.wantLook = true
	c.lookSoon(e)
}

func (c *Cell) lookAt(e *endpoint) {
	since := c.now.Sub(e.looks.lastAt)
	switch {
	case e.silent:
		if e.looks.quick == nil && since >= c.options.PollRetryInterval {
			c.sendLook(e, 0)
		}
	case !e.attached, e.wantLook:
		if e.looks.quick == nil {
			c.sendLook(e, 0)
		}
	case e.looks.waiting != nil:
	case e.seen > e.recorded:
		// The endpoint would repeat the ends at once; they are not recorded yet.
		// While the store is away, leases need prolonging all the same.
		if e.looks.quick == nil && since >= c.options.PollRetryInterval {
			c.sendLook(e, 0)
		}
	case e.strays > 0:
		// It takes no work until they have ended.
		if since >= c.options.PollRetryInterval {
			c.sendLook(e, 0)
		}
	case len(e.runs) > 0:
		c.sendLook(e, c.options.PollWait)
	case since >= c.options.IdlePollInterval:
		c.sendLook(e, 0)
	}
}

func (c *Cell) sendLook(e *endpoint, wait time.Duration) {
	e.looks.next++
	e.looks.lastAt = c.now
	sent := &sentLook{number: e.looks.next, step: c.step, at: c.now, wait: wait}
	if wait > 0 {
		e.looks.waiting = sent
	} else {
		e.looks.quick = sent
		e.wantLook = false
	}
	order := damsonwinch.PollRequest{Token: c.token, AckedSequence: e.recorded, MaxWait: wait}
	if e.silent {
		// If another life answers under its ID, that is not to forget its own first ends.
		order.AckedSequence = 0
	}
	if e.attached && !e.silent && c.mayRenewLeases() {
		order.LeaseUntilMs = e.clock(c.now) + int(c.options.MaxLease.Milliseconds())
		c.prolong(e, order.LeaseUntilMs)
	}
	c.stats.Polls++
	c.effects.Polls = append(c.effects.Polls, Poll{Endpoint: e.info, Request: order, Number: sent.number})
}

// take removes and returns the look of a number.
func (l *looks) take(number int) *sentLook {
	for _, place := range []**sentLook{&l.waiting, &l.quick} {
		if sent := *place; sent != nil && sent.number == number {
			*place = nil
			return sent
		}
	}
	return nil
}

// errEndedLife says that a life has answered that is known to have ended.
var errEndedLife = errors.New("a life answers that has ended")

// Looked takes the answer to a look.
func (c *Cell) Looked(now time.Time, asked damsonwinch.Life, number int, look damsonwinch.PollReply, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	e := c.endpoints[asked]
	if e == nil {
		return
	}
	c.placementDue = true
	c.lookSoon(e)
	sent := e.looks.take(number)
	if sent == nil || e.gone {
		return
	}
	if err != nil {
		c.lookFailed(e, sent, err)
		return
	}
	if sent.step < c.answeredUnder(asked.ID) {
		// A later look has been answered; this one is out of date.
		return
	}
	if e = c.answering(e, sent, look.StartedUnixMs); e == nil {
		return
	}
	c.heard(e)
	e.looks.answered = sent.step
	c.followLives(e, look, sent.step)
	if e.silent {
		c.logEndpoint("endpoint answers again", e, "")
	}
	e.silent = false
	e.clockSample, e.clockAt = look.ClockMs, c.now
	c.outlive(e, sent.at)
	c.takeEnds(e, look.Finished)
	if len(look.Finished) < mostEnds {
		c.forgetLapses(e)
	}
	c.takeRunning(e, look.Running, sent.step)
	c.judge(e)
	c.share(e)
	if !e.attached {
		e.attached, e.attachedAt = true, c.now
		c.logEndpoint("endpoint attached", e, "box "+e.info.Box)
	}
}

func (c *Cell) lookFailed(e *endpoint, sent *sentLook, err error) {
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.lose(e, "another life answers at its address")
	case errors.Is(err, damsonwinch.ErrStaleToken):
		c.effects.OwnershipLost = true
	default:
		if !e.silent {
			c.logEndpoint("endpoint silent", e, err.Error())
			e.silent, e.silentAt, e.silentStep = true, c.now, c.step
			e.broke = c.caughtUp() && c.now.Sub(sent.at) < sent.wait
		}
		if len(e.runs) > 0 {
			c.effects.ListBoxes = true
			c.copyRuns(e)
		}
	}
}

// takeEnds takes the ends that are new into the state, in order.
func (c *Cell) takeEnds(e *endpoint, ends []damsonwinch.RunResult) {
	slices.SortFunc(ends, func(a, b damsonwinch.RunResult) int { return a.Sequence - b.Sequence })
	for _, end := range ends {
		if end.Sequence <= e.seen {
			continue
		}
		e.seen = end.Sequence
		c.commits.ackEndpoints = append(c.commits.ackEndpoints, e)
		c.finished(e, end)
	}
}

// takeRunning compares what runs with what should.
func (c *Cell) takeRunning(e *endpoint, rows []damsonwinch.RunProgress, sentAt int) {
	e.strays = 0
	for _, row := range rows {
		r := e.runs[row.Run]
		if r == nil {
			e.strays++
			c.stopStray(e, row.Run)
			continue
		}
		r.listedAt = c.step
		c.seenRunning(r, row)
	}
	for _, r := range e.sortedRuns() {
		switch {
		case r.listedAt == c.step:
		case c.mustBeListed(r, sentAt):
			c.notThere(r)
		case r.state == runUncertain && !r.stopping && sentAt >= r.knownAt:
			// Its start may still be on the way.
			c.stop(r, "its start was not answered")
		}
	}
}

// mustBeListed says whether a look sent at a step would have shown a run that
// exists.
func (c *Cell) mustBeListed(r *run, sentAt int) bool {
	switch r.state {
	case runSuspect:
		// This owner's token has kept out later orders of earlier owners.
		return true
	case runConfirmed:
		return sentAt >= r.knownAt
	case runUncertain:
		// Once the endpoint has taken the stop, the attempt can't begin any more.
		return r.stopped && sentAt >= r.knownAt
	}
	return false
}

func (c *Cell) seenRunning(r *run, row damsonwinch.RunProgress) {
	r.task.phase.job().begun = true
	r.pace.see(c.now, row.DonePercent)
	c.signal(r)
	r.percent, r.load, r.lost = row.DonePercent, row.Load, nil
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
	if r.state == runIntended || r.state == runConfirmed {
		return
	}
	uncertain := r.state == runUncertain
	r.state, r.knownAt = runConfirmed, c.step
	if r.task.phase.job().ended() || r.task.done {
		c.stop(r, "its job has ended")
	} else if uncertain && r.stopping && r.stopSent.IsZero() {
		r.stopping = false
	}
}

// stopStray ends a run that belongs to nothing that should run.
func (c *Cell) stopStray(e *endpoint, stray damsonwinch.Run) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: "stop stray run", Job: stray.Task.Job, Task: stray.Task.String(), Endpoint: e.info.Life.String()})
	c.effects.Stops = append(c.effects.Stops, Stop{Endpoint: e.info, Request: damsonwinch.StopRequest{Run: stray, Token: c.token}})
}
