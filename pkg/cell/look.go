package cell

import (
	"errors"
	"slices"
	"time"

	"damsonwinch"
)

// polls are the questions to an endpoint that are on their way: at most one that
// waits for an end, and one that doesn't.
type polls struct {
	lastNumber int
	waiting    *sentPoll
	immediate  *sentPoll
	// answeredStep is the step at which the newest answeredStep look was sent.
	answeredStep int
	lastSentAt   time.Time
}

type sentPoll struct {
	number int
	step   int
	sentAt time.Time
	// maxWait is how long it may maxWait for an end.
	maxWait time.Duration
}

// maxResults is the most ends that an endpoint lists at once; others may follow.
const maxResults = 500

// sendDuePolls sends the looks that are due: at the endpoints that something has
// happened to and, from time to time, at all.
func (c *Cell) sendDuePolls() {
	due := c.pollDue
	if c.pollAll {
		due = c.sortedEndpoints
	}
	for _, e := range due {
		e.pollDue = false
		if e.exited || e.info.Address == "" || (len(e.runs) == 0 && (!e.listed || e.withdrawal.recorded)) {
			continue
		}
		c.pollIfDue(e)
	}
	c.pollDue, c.pollAll = c.pollDue[:0], false
}

// schedulePoll notes that a look at an endpoint may be due.
func (c *Cell) schedulePoll(e *endpoint) {
	if !e.pollDue {
		e.pollDue = true
		c.pollDue = append(c.pollDue, e)
	}
}

// requestPoll asks for a look that doesn't wait.
func (c *Cell) requestPoll(e *endpoint) {
	e.pollWanted = true
	c.schedulePoll(e)
}

func (c *Cell) pollIfDue(e *endpoint) {
	since := c.now.Sub(e.polls.lastSentAt)
	switch {
	case e.silent:
		if e.polls.immediate == nil && since >= c.options.PollRetryInterval {
			c.sendPoll(e, 0)
		}
	case !e.attached, e.pollWanted:
		if e.polls.immediate == nil {
			c.sendPoll(e, 0)
		}
	case e.polls.waiting != nil:
	case e.appliedSequence > e.recordedSequence:
		// The endpoint would repeat the ends at once; they are not recorded yet.
		// While the store is away, leases need prolonging all the same.
		if e.polls.immediate == nil && since >= c.options.PollRetryInterval {
			c.sendPoll(e, 0)
		}
	case e.strayRuns > 0:
		// It takes no work until they have ended.
		if since >= c.options.PollRetryInterval {
			c.sendPoll(e, 0)
		}
	case len(e.runs) > 0:
		c.sendPoll(e, c.options.PollWait)
	case since >= c.options.IdlePollInterval:
		c.sendPoll(e, 0)
	}
}

func (c *Cell) sendPoll(e *endpoint, wait time.Duration) {
	e.polls.lastNumber++
	e.polls.lastSentAt = c.now
	sent := &sentPoll{number: e.polls.lastNumber, step: c.step, sentAt: c.now, maxWait: wait}
	if wait > 0 {
		e.polls.waiting = sent
	} else {
		e.polls.immediate = sent
		e.pollWanted = false
	}
	order := damsonwinch.PollRequest{Token: c.token, AckedSequence: e.recordedSequence, MaxWait: wait}
	if e.silent {
		// If another life answers under its ID, that is not to forget its own first ends.
		order.AckedSequence = 0
	}
	if e.attached && !e.silent && c.mayRenewLeases() {
		order.LeaseUntilMs = e.estimateClock(c.now) + int(c.options.MaxLease.Milliseconds())
		c.extendLeaseBound(e, order.LeaseUntilMs)
	}
	c.stats.Polls++
	c.effects.Polls = append(c.effects.Polls, Poll{Endpoint: e.info, Request: order, Number: sent.number})
}

// take removes and returns the look of a number.
func (l *polls) take(number int) *sentPoll {
	for _, place := range []**sentPoll{&l.waiting, &l.immediate} {
		if sent := *place; sent != nil && sent.number == number {
			*place = nil
			return sent
		}
	}
	return nil
}

// errExitedLife says that a life has answered that is known to have ended.
var errExitedLife = errors.New("a life answers that has ended")

// Polled takes the answer to a look.
func (c *Cell) Polled(now time.Time, asked damsonwinch.Life, number int, look damsonwinch.PollReply, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	e := c.endpoints[asked]
	if e == nil {
		return
	}
	c.placementDue = true
	c.schedulePoll(e)
	sent := e.polls.take(number)
	if sent == nil || e.exited {
		return
	}
	if err != nil {
		c.pollFailed(e, sent, err)
		return
	}
	if sent.step < c.lastAnsweredStep(asked.ID) {
		// A later look has been answered; this one is out of date.
		return
	}
	if e = c.answeringLife(e, sent, look.StartedUnixMs); e == nil {
		return
	}
	c.endpointAnswered(e)
	e.polls.answeredStep = sent.step
	c.supersedeOtherLives(e, look, sent.step)
	if e.silent {
		c.logEndpoint("endpoint answers again", e, "")
	}
	e.silent = false
	e.clockSampleMs, e.clockSampledAt = look.ClockMs, c.now
	c.endProbation(e, sent.sentAt)
	c.applyResults(e, look.Finished)
	if len(look.Finished) < maxResults {
		c.forgetLapsed(e)
	}
	c.reconcileRuns(e, look.Running, sent.step)
	c.checkProgress(e)
	c.adjustFillerSpeeds(e)
	if !e.attached {
		e.attached, e.attachedAt = true, c.now
		c.logEndpoint("endpoint attached", e, "box "+e.info.Box)
	}
}

func (c *Cell) pollFailed(e *endpoint, sent *sentPoll, err error) {
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.markLost(e, "another life answers at its address")
	case errors.Is(err, damsonwinch.ErrStaleToken):
		c.effects.OwnershipLost = true
	default:
		if !e.silent {
			c.logEndpoint("endpoint silent", e, err.Error())
			e.silent, e.silentSince, e.silentStep = true, c.now, c.step
			e.pollBroken = c.caughtUp() && c.now.Sub(sent.sentAt) < sent.maxWait
		}
		if len(e.runs) > 0 {
			c.effects.ListBoxes = true
			c.startSpeculativeAttempts(e)
		}
	}
}

// applyResults takes the ends that are new into the state, in order.
func (c *Cell) applyResults(e *endpoint, ends []damsonwinch.RunResult) {
	slices.SortFunc(ends, func(a, b damsonwinch.RunResult) int { return a.Sequence - b.Sequence })
	for _, end := range ends {
		if end.Sequence <= e.appliedSequence {
			continue
		}
		e.appliedSequence = end.Sequence
		c.commits.ackEndpoints = append(c.commits.ackEndpoints, e)
		c.applyResult(e, end)
	}
}

// reconcileRuns compares what runs with what should.
func (c *Cell) reconcileRuns(e *endpoint, rows []damsonwinch.RunProgress, sentAt int) {
	e.strayRuns = 0
	for _, row := range rows {
		r := e.runs[row.Run]
		if r == nil {
			e.strayRuns++
			c.stopStray(e, row.Run)
			continue
		}
		r.lastListedStep = c.step
		c.applyProgress(r, row)
	}
	for _, r := range e.sortedRuns() {
		switch {
		case r.lastListedStep == c.step:
		case c.mustBeListed(r, sentAt):
			c.removeMissingRun(r)
		case r.state == runUncertain && !r.stopping && sentAt >= r.listedAfterStep:
			// Its start may still be on the way.
			c.stop(r, "its start was not answered")
		}
	}
}

// mustBeListed says whether a look sent at a step would have shown a run that
// exists.
func (c *Cell) mustBeListed(r *run, sentAt int) bool {
	switch r.state {
	case runUnverified:
		// This owner's token has kept out later orders of earlier owners.
		return true
	case runConfirmed:
		return sentAt >= r.listedAfterStep
	case runUncertain:
		// Once the endpoint has taken the stop, the attempt can't begin any more.
		return r.stopConfirmed && sentAt >= r.listedAfterStep
	}
	return false
}

func (c *Cell) applyProgress(r *run, row damsonwinch.RunProgress) {
	r.task.phase.job().begun = true
	r.progress.update(c.now, row.DonePercent)
	c.sampleProgress(r)
	r.percent, r.load, r.pendingLoss = row.DonePercent, row.Load, nil
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
	if r.state == runPending || r.state == runConfirmed {
		return
	}
	uncertain := r.state == runUncertain
	r.state, r.listedAfterStep = runConfirmed, c.step
	if r.task.phase.job().ended() || r.task.done {
		c.stop(r, "its job has ended")
	} else if uncertain && r.stopping && r.stopSentAt.IsZero() {
		r.stopping = false
	}
}

// stopStray ends a run that belongs to nothing that should run.
func (c *Cell) stopStray(e *endpoint, stray damsonwinch.Run) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: "stop stray run", Job: stray.Task.Job, Task: stray.Task.String(), Endpoint: e.info.Life.String()})
	c.effects.Stops = append(c.effects.Stops, Stop{Endpoint: e.info, Request: damsonwinch.StopRequest{Run: stray, Token: c.token}})
}
