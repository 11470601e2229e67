package cell

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"damsonwinch"
)

// polls tracks the polls of an endpoint that have not been answered yet. There is at most one of
// each kind: waiting, which the endpoint may hold until a run ends, and immediate, which it answers
// at once.
type polls struct {
	waiting   *sentPoll
	immediate *sentPoll
	// overdue holds polls that were not answered in time and have been sent again. Their replies still
	// count.
	overdue []*sentPoll
	// answeredStep is the step at which the newest answered poll was sent.
	answeredStep int
	lastSentAt   time.Time
	// renewedAt is when the last poll was sent that renews the leases.
	renewedAt time.Time
	// loggedOtherLife is the life that was last logged as having answered a poll of this one.
	loggedOtherLife damsonwinch.Life
}

// sentPoll is a poll that has not been answered yet.
type sentPoll struct {
	number int
	step   int
	sentAt time.Time
	// address is where the poll was sent.
	address string
	// maxWait is how long the endpoint may hold the poll until a run ends.
	maxWait time.Duration
	// ackedSequence is the number of results that the poll acknowledges, and renewsLeases whether it renews the leases.
	ackedSequence int
	renewsLeases  bool
	// overdue is set once the poll has been sent again.
	overdue bool
}

// sendDuePolls sends the polls that are due. It checks the endpoints for which schedulePoll was
// called, or all endpoints if pollAll is set.
func (c *Cell) sendDuePolls() {
	due := c.pollDue
	if c.pollAll {
		due = c.sortedEndpoints
	}
	for _, e := range due {
		e.pollDue = false
		if e.exited {
			c.pollExited(e)
			continue
		}
		if e.info.Address == "" || (len(e.runs) == 0 && (!e.listed || e.withdrawal.recorded)) {
			continue
		}
		c.pollIfDue(e)
	}
	c.pollDue, c.pollAll = c.pollDue[:0], false
}

// schedulePoll has the next sendDuePolls check whether a poll of the endpoint is due.
func (c *Cell) schedulePoll(e *endpoint) {
	if !e.pollDue {
		e.pollDue = true
		c.pollDue = append(c.pollDue, e)
	}
}

// requestPoll asks for a poll that the endpoint answers at once, even while it holds another poll.
func (c *Cell) requestPoll(e *endpoint) {
	e.pollWanted = true
	c.schedulePoll(e)
}

// pollIfDue sends a poll to an endpoint if one is due in its present state.
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
	case e.polls.waiting != nil, e.polls.immediate != nil:
		// A poll that is replaced before it times out would never show that the endpoint is silent.
	case e.appliedSequence > e.recordedSequence, e.appliedSequence > 0 && !e.everListed:
		// The endpoint would not hold a poll but answer at once with the same results, which can't
		// be acknowledged before they are recorded and the endpoint is listed. While the store is
		// unavailable the leases still have to be renewed.
		if e.polls.immediate == nil && since >= c.options.PollRetryInterval {
			c.sendPoll(e, 0)
		}
	case e.strayRuns > 0:
		// The endpoint gets no work until its stray runs have ended, so it is polled often.
		if since >= c.options.PollRetryInterval {
			c.sendPoll(e, 0)
		}
	case len(e.runs) > 0:
		c.sendPoll(e, c.pollWait(e))
	case since >= c.idlePollInterval(e):
		c.sendPoll(e, 0)
	}
}

// sendPoll sends a poll that the endpoint may hold for up to maxWait, and renews the leases there
// if this owner may do so.
func (c *Cell) sendPoll(e *endpoint, maxWait time.Duration) {
	c.lastPollNumber++
	e.polls.lastSentAt = c.now
	sent := &sentPoll{number: c.lastPollNumber, step: c.step, sentAt: c.now, address: e.info.Address, maxWait: maxWait}
	if maxWait > 0 {
		e.polls.waiting = sent
	} else {
		e.polls.immediate = sent
		e.pollWanted = false
	}
	request := damsonwinch.PollRequest{Token: c.token, AckedSequence: e.recordedSequence, MaxWait: maxWait}
	if e.silent || !e.everListed {
		// If a later life answers under the same ID, it would take the number for one of its own
		// and discard its first results. An endpoint that isn't listed may have results for another
		// cell's owner.
		request.AckedSequence = 0
	}
	if e.attached && !e.silent && !e.exited && c.mayRenewLeases() && !c.skipsRenewal(e) {
		e.polls.renewedAt = c.now
		request.LeaseUntilMs = e.leases.Extend(c.now, c.options.MaxLease)
	}
	sent.ackedSequence, sent.renewsLeases = request.AckedSequence, request.LeaseUntilMs > 0
	c.stats.Polls++
	c.effects.Polls = append(c.effects.Polls, Poll{Endpoint: e.info, Request: request, Number: sent.number})
}

// take removes and returns the unanswered poll with the given number, or nil if there is none.
func (p *polls) take(number int) *sentPoll {
	for _, place := range []**sentPoll{&p.waiting, &p.immediate} {
		if sent := *place; sent != nil && sent.number == number {
			*place = nil
			return sent
		}
	}
	if i := slices.IndexFunc(p.overdue, func(sent *sentPoll) bool { return sent.number == number }); i >= 0 {
		sent := p.overdue[i]
		p.overdue = slices.Delete(p.overdue, i, i+1)
		return sent
	}
	return nil
}

// errExitedLife is the error of a poll that was answered by a life that is known to have exited.
var errExitedLife = errors.New("the reply is from a life that has exited")

// Polled handles the reply to the poll with the given number, which was sent to life, or the error
// that the poll failed with.
func (c *Cell) Polled(now time.Time, life damsonwinch.Life, number int, reply damsonwinch.PollReply, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	e := c.endpoints[life]
	if e == nil {
		return
	}
	c.placementDue = true
	c.schedulePoll(e)
	sent := e.polls.take(number)
	if sent == nil {
		return
	}
	if err == nil {
		c.checkReplyingLife(e, sent, reply)
	}
	if e.exited && !c.survivedReport(e, sent, reply, err) {
		return
	}
	if err != nil {
		c.pollFailed(e, sent, err)
		return
	}
	if sent.maxWait == 0 {
		c.observeAnswer(e, now.Sub(sent.sentAt))
	} else {
		c.countAnswer(e, max(0, now.Sub(sent.sentAt)-sent.maxWait))
	}
	// A poll that was sent later has been answered, so this reply is out of date.
	if sent.step < c.lastAnsweredStep(life.ID) {
		return
	}
	if e = c.answeringLife(e, sent, reply.StartedUnixMs); e == nil {
		return
	}
	c.endpointAnswered(e)
	e.polls.answeredStep = sent.step
	c.supersedeOtherLives(e, reply, sent)
	if e.silent {
		c.logEndpoint("endpoint answers again", e, "")
	}
	e.silent = false
	e.leases.SampleClock(c.now, reply.ClockMs)
	c.endProbation(e, sent.sentAt)
	c.applyResults(e, reply.Finished)
	c.updateListedRuns(e, reply.Running, sent.step)
	e.forgetEnded()
	if !reply.Truncated {
		c.forgetLapsed(e)
		c.removeUnlistedRuns(e, sent)
		c.checkProgress(e)
	}
	c.adjustFillerSpeeds(e)
	if !e.attached {
		e.attached, e.attachedAt = true, c.now
		c.logEndpoint("endpoint attached", e, "box "+e.info.Box)
	}
}

// pollFailed handles the error of a poll. ErrOtherLife means that the life has exited, and
// ErrStaleToken that the endpoint has had requests from a newer owner. After any other error the
// endpoint counts as silent.
func (c *Cell) pollFailed(e *endpoint, sent *sentPoll, err error) {
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.otherLifeAnswered(e, sent.address, c.pollSource(sent)+": "+err.Error())
	case errors.Is(err, damsonwinch.ErrStaleToken):
		c.effects.OwnershipLost = true
	case sent.overdue && sent.step < c.lastAnsweredStep(e.info.Life.ID):
		// The poll that was sent in its place has been answered.
	default:
		if !e.silent {
			c.logEndpoint("endpoint silent", e, err.Error())
			e.silent, e.silentSince, e.silentStep = true, c.now, c.step
			e.pollBroken = c.pauses.CaughtUp(c.now) && c.now.Sub(sent.sentAt) < sent.maxWait
		}
		if len(e.runs) > 0 {
			c.effects.ListBoxes = true
			c.startSpeculativeAttempts(e)
		}
	}
}

// applyResults applies the results that have not been applied yet, in the order of their sequence
// numbers.
func (c *Cell) applyResults(e *endpoint, results []damsonwinch.RunResult) {
	slices.SortFunc(results, func(a, b damsonwinch.RunResult) int { return a.Sequence - b.Sequence })
	c.checkResultGaps(e, results)
	for _, result := range results {
		if result.Sequence <= e.appliedSequence {
			continue
		}
		e.appliedSequence = result.Sequence
		e.noteEnded(result.Run, c.step)
		c.commits.ackEndpoints = append(c.commits.ackEndpoints, e)
		c.applyResult(e, result)
	}
}

// updateListedRuns updates the runs that an endpoint has listed in its reply to a poll that was sent at sentStep. It stops
// those that the cell doesn't expect there.
func (c *Cell) updateListedRuns(e *endpoint, listed []damsonwinch.RunProgress, sentStep int) {
	e.strayRuns = 0
	for _, progress := range listed {
		r := e.runs[progress.Run]
		if r == nil && e.endedSince(progress.Run, sentStep) {
			continue
		}
		if r == nil {
			e.strayRuns++
			if e.everListed || c.jobs[progress.Task.Job] != nil {
				c.stopStray(e, progress.Run)
			}
			continue
		}
		r.lastListedStep, r.lastListedAt = c.step, c.now
		c.applyProgress(r, progress)
	}
	switch {
	case e.strayRuns == 0:
		e.strayRunsSince = time.Time{}
	case e.strayRunsSince.IsZero():
		e.strayRunsSince = c.now
	}
}

// removeUnlistedRuns removes the expected runs that an endpoint doesn't have: its reply lists them neither as
// running nor as ended. A truncated reply doesn't show that. sent is the poll.
func (c *Cell) removeUnlistedRuns(e *endpoint, sent *sentPoll) {
	for _, r := range e.sortedRuns() {
		switch {
		case r.lastListedStep == c.step:
		case c.mustBeListed(r, sent.step):
			if r.confirmedAt.IsZero() && r.pendingLoss == nil {
				// This life was to start it, has not, and will refuse to.
				c.addExtraStarts(r.task, -1)
			}
			c.removeMissingRun(r, c.unlistedRemoval(r, sent))
		case r.state == runUncertain && !r.stopping && sent.step >= r.listedAfterStep:
			// The start request may still arrive.
			c.stopUnanswered(r)
			r.keepIfListed = !r.task.phase.spec.Gang
		}
	}
}

// mustBeListed reports whether the reply to a poll that was sent at sentStep lists the run if it
// exists.
func (c *Cell) mustBeListed(r *run, sentStep int) bool {
	switch r.state {
	case runUnverified:
		// The poll has brought this owner's token to the endpoint, which refuses later starts by
		// earlier owners.
		return true
	case runConfirmed:
		return sentStep >= r.listedAfterStep
	case runUncertain:
		// Once the endpoint has accepted the stop, it refuses the start of this attempt.
		return r.stopConfirmed && sentStep >= r.listedAfterStep
	}
	return false
}

// applyProgress updates a run that its endpoint has listed. A run whose start was not confirmed is
// confirmed by that; it is stopped if its job has ended or its task is done.
func (c *Cell) applyProgress(r *run, progress damsonwinch.RunProgress) {
	r.task.phase.job().begun = true
	r.progress.Update(c.now, progress.DonePercent)
	c.sampleProgress(r)
	r.percent, r.load, r.pendingLoss = progress.DonePercent, progress.Load, nil
	r.task.saveCheckpoint(progress.Checkpoint)
	if r.state == runPending || r.state == runConfirmed {
		return
	}
	uncertain := r.state == runUncertain
	c.confirm(r)
	if r.task.phase.job().ended() || r.task.done {
		c.stop(r, "its job has ended")
	} else if uncertain && r.stopping && !r.stopConfirmed && (r.stopSentAt.IsZero() || r.keepIfListed) {
		// A stop that is on its way may still end the run. Its result then shows that.
		r.stopping, r.keepIfListed = false, false
	}
}

// stopStray stops a run that the cell doesn't know or no longer expects.
func (c *Cell) stopStray(e *endpoint, stray damsonwinch.Run) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "stop stray run", Job: stray.Task.Job, Task: stray.Task.String(), Endpoint: e.info.Life.String(),
		Reason: fmt.Sprintf("attempt %d; %s", stray.Attempt, c.recentRemovals.describe(c.now, stray)),
	})
	c.effects.Stops = append(c.effects.Stops, Stop{Endpoint: e.info, Request: damsonwinch.StopRequest{Run: stray, Token: c.token}})
}
