package cell

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fillerspeed"
	"damsonwinch/pkg/workload"
)

// runState is what is known about whether an attempt runs.
type runState int

const (
	// runPending is the state until the run's record is committed. Only then is the start
	// requested.
	runPending runState = iota
	// runRequested is the state while the reply to the start request is awaited.
	runRequested
	// runConfirmed is the state once the endpoint has accepted or listed the run.
	runConfirmed
	// runUncertain is the state after the reply to the start request was lost.
	runUncertain
	// runUnverified is the state of a run that an earlier owner recorded, until its endpoint is
	// polled.
	runUnverified
)

// run is an attempt at a task that may exist on an endpoint.
type run struct {
	task     *task
	attempt  int
	endpoint *endpoint
	state    runState
	// listedAfterStep is the step after which polls must list the run: if a poll that was sent at
	// that step or later doesn't list it, the run doesn't exist.
	listedAfterStep int
	// startOverdue is set while the start request is in flight for longer than usual. A poll shows
	// meanwhile whether the run exists.
	startOverdue bool
	// lastListedStep is the step of the newest reply to a poll that listed the run, and lastListedAt is when it was handled.
	lastListedStep int
	lastListedAt   time.Time
	// stopping is set once the run is to be stopped, and stopReason says why.
	stopping   bool
	stopReason string
	// keepIfListed is set if the run is only to be stopped because its start was not answered and a poll
	// didn't list it. If a poll lists it before a stop is confirmed, it goes on.
	keepIfListed bool
	// stopSentAt is when the last stop request was sent, and stopsSent how many were. stopConfirmed is set once the endpoint has
	// accepted one: from then on it refuses the start of this attempt.
	stopSentAt    time.Time
	stopsSent     int
	stopConfirmed bool
	// startSentTo and stopSentTo are the lives to which the start and the last stop were sent, or empty. The run may have
	// been assigned to a later life since.
	startSentTo damsonwinch.Life
	stopSentTo  damsonwinch.Life
	// startAddress and stopAddress are where they were sent.
	startAddress string
	stopAddress  string
	// ticket is what the start request carried as the proof of its permit, or empty.
	ticket string
	// percent is how much of the task is done, in percent, as last listed by the endpoint.
	percent int
	// startedAt is when the run was planned or, once its start was requested, when the request was
	// sent. For an inherited run it is when the cell was loaded.
	startedAt time.Time
	// confirmedAt is when it became known that the run exists; zero before.
	confirmedAt time.Time
	// resumed is set if the run continues from a checkpoint, and inherited if an earlier owner
	// started it. In both cases its duration isn't the time that the task takes.
	resumed   bool
	inherited bool
	// recordedSent is set for an inherited run if the earlier owner has recorded that it had sent the start.
	recordedSent bool
	// pendingLoss describes how the run was lost with its endpoint, or is nil. It is set while a
	// later life with the same ID may still run it.
	pendingLoss *runLoss
	// jobLate is set if the run's phase was late (see isLate) when the run was planned.
	jobLate  bool
	progress workload.Progress
	// progressSampled is set once the run's progress has been counted in its endpoint's health.
	progressSampled bool
	// load is the load that the endpoint last reported for the run: for a serving task, its tail
	// latency in milliseconds.
	load int
	// speedPercent is the speed that was last requested for the run, in percent of its full speed. fullSpeedSince is when
	// it was last set to the full speed after a lower one, or zero.
	speedPercent   int
	fullSpeedSince time.Time
}

// id returns the run's identity as endpoints know it.
func (r *run) id() damsonwinch.Run {
	return damsonwinch.Run{Task: r.task.id(), Attempt: r.attempt}
}

// wasSent reports whether the start of the run is known to have been sent.
func (r *run) wasSent() bool {
	if r.inherited {
		return r.recordedSent || !r.confirmedAt.IsZero()
	}
	return r.state != runPending
}

// planRun adds a new attempt at a task and reserves capacity for it on an endpoint. The start is
// requested once the attempt is recorded.
func (c *Cell) planRun(t *task, e *endpoint) {
	t.lastAttempt++
	r := &run{task: t, attempt: t.lastAttempt, endpoint: e, startedAt: c.now, resumed: t.checkpoint != "", speedPercent: fullPercent, jobLate: t.phase.isLate(int(c.now.UnixMilli()))}
	onProbation := t.suspected && c.noRecentStart(e)
	c.addRun(r)
	if onProbation {
		c.startProbation(r)
	}
	c.addExtraStarts(t, 1)
	t.phase.permits.Use()
	t.phase.job().placed, t.phase.round.begun = true, true
	if t.lastAttempt == 1 {
		t.phase.job().plannedRows++
	}
	if t.lastAttempt > 1 {
		c.stats.Reruns++
	}
	c.markDirty(t.phase.job())
	c.commits.starts = append(c.commits.starts, r)
}

// addRun adds a run to its task, job and endpoint, and counts it against its customer's quota.
func (c *Cell) addRun(r *run) {
	r.task.runs = append(r.task.runs, r)
	c.addToEndpoint(r)
	c.quota.AddRun(r.task.phase.job().customer, r.task.phase.quotaNeed(), r.task.phase.spec.Lasting)
	r.task.phase.job().runCount++
}

// addToEndpoint adds a run to its endpoint and occupies the capacity that it needs.
func (c *Cell) addToEndpoint(r *run) {
	r.endpoint.runs[r.id()] = r
	r.endpoint.runsByStart = append(r.endpoint.runsByStart, r)
	c.occupy(r.endpoint, r.task.phase.need())
	c.schedulePoll(r.endpoint)
}

// removeFromEndpoint removes a run from its endpoint and releases its capacity.
func (c *Cell) removeFromEndpoint(r *run) {
	delete(r.endpoint.runs, r.id())
	r.endpoint.runsByStart = slices.DeleteFunc(r.endpoint.runsByStart, func(other *run) bool { return other == r })
	c.release(r.endpoint, r.task.phase.need())
	r.endpoint.lastBusy = c.now
	if r.task.phase.spec.Fills {
		r.endpoint.lastFiller = fillerspeed.NewLast(c.now, r.speedPercent)
	}
	if r.endpoint.probation == r {
		r.endpoint.probation = nil
	}
	c.schedulePoll(r.endpoint)
}

// removeRun removes a run from its task, job and endpoint, and from what its customer uses of its
// quota. The run must certainly not exist any more.
func (c *Cell) removeRun(r *run) {
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	c.removeFromEndpoint(r)
	c.quota.RemoveRun(r.task.phase.job().customer, r.task.phase.quotaNeed(), r.task.phase.spec.Lasting)
	r.task.phase.job().runCount--
	c.placementDue = true
	c.markDirty(r.task.phase.job())
}

// requeue removes a run that has no result. Its task becomes ready again if it has no other
// attempt.
func (c *Cell) requeue(r *run) {
	c.removeRun(r)
	if len(r.task.runs) == 0 {
		c.makeReady(r.task)
	}
}

// maxUnconfirmed is how long after this owner's claim was last confirmed no start is sent, but decided again. An owner that
// was paused for long must not send what it decided before the pause, since another one may have taken over. How long ago
// it was decided doesn't matter: while no other owner has come, deciding it again changes nothing and takes as long again.
const maxUnconfirmed = 2 * time.Second

// sendStart sends the start request for a run whose record is committed, or removes the run if it
// must not start any more.
func (c *Cell) sendStart(r *run) {
	if reason := c.whyNotStart(r); reason != "" {
		c.dropStart(r, reason)
		return
	}
	if c.lacksPermit(r) {
		c.permitCalls.heldStarts = append(c.permitCalls.heldStarts, r)
		return
	}
	r.state = runRequested
	if c.options.CrashRules.RecordsStarts(r.task.crashes) {
		// If its endpoint is lost, the next owner has to know that the task may have been running.
		c.markDirty(r.task.phase.job())
	}
	c.logStart(r)
	r.startedAt, r.startSentTo, r.startAddress = c.now, r.endpoint.info.Life, r.endpoint.info.Address
	r.ticket = r.task.phase.permits.Ticket(r.endpoint.info.Life)
	leaseUntilMs := r.endpoint.leases.Extend(c.now, c.options.MaxStartDelay)
	c.stats.Starts++
	c.effects.Starts = append(c.effects.Starts, Start{Endpoint: r.endpoint.info, Request: damsonwinch.StartRequest{
		Run: r.id(), Spec: r.task.phase.job().spec.Text, Token: c.token, LeaseUntilMs: leaseUntilMs, Checkpoint: r.task.checkpoint,
		Ticket: r.ticket,
	}})
}

// whyNotStart returns why a start that was decided a while ago must not be sent any more, or an empty string if it may be.
func (c *Cell) whyNotStart(r *run) string {
	switch {
	case c.now.Sub(c.confirmedAt) > maxUnconfirmed:
		return "the owner's claim was last confirmed too long ago"
	case r.stopping:
		return "the run is to be stopped"
	case r.task.phase.job().ended():
		return "its job has ended"
	case !r.endpoint.usable():
		return "its endpoint can't be used any more"
	case r.endpoint.zone.mayBeCutOff():
		return "its zone may be cut off"
	case !c.evacuationsKnown():
		return "the evacuations of zones are not known"
	case !c.stillFits(r):
		return "it doesn't fit on its endpoint any more"
	case !c.stillAllowed(r):
		return "its customer's allowance has become smaller"
	}
	return ""
}

// dropStart removes a run whose start has not been sent, for the given reason.
func (c *Cell) dropStart(r *run, reason string) {
	c.logRemoval(r, removal{reason: removedDropped, source: reason})
	c.addExtraStarts(r.task, -1)
	c.requeueUnstarted(r)
	c.stopGang(r.task.phase, "a member of its gang can't be started")
}

// stop has a run stopped. It sends no request if the run's start has not been requested or answered
// yet, or if the endpoint has accepted a stop.
func (c *Cell) stop(r *run, reason string) {
	if r.state == runPending {
		// The start has not been requested yet. sendStart will remove the run instead.
		r.stopping, r.stopReason = true, reason
		return
	}
	if r.stopping && r.stopConfirmed {
		return
	}
	if !r.stopping {
		c.logRun("stop", r, reason)
		r.stopReason = reason
	}
	// A run that has another reason to be stopped doesn't go on if a poll lists it.
	r.stopping, r.keepIfListed = true, false
	if r.state == runRequested {
		// The reply to the start request is on its way. A stop that overtakes the start would still
		// be effective, but the reply shows whether the run has started.
		return
	}
	c.sendStop(r)
}

// sendStop sends a stop request for a run.
func (c *Cell) sendStop(r *run) {
	if !r.isOn(r.stopSentTo) {
		r.stopSentTo, r.stopsSent = r.endpoint.info.Life, 0
	}
	r.stopSentAt, r.stopAddress = c.now, r.endpoint.info.Address
	r.stopsSent++
	c.effects.Stops = append(c.effects.Stops, Stop{Endpoint: r.endpoint.info, Request: damsonwinch.StopRequest{Run: r.id(), Token: c.token}})
}

// Stopped handles the reply to a stop request that was sent to life, or the error that the request failed with.
func (c *Cell) Stopped(now time.Time, life damsonwinch.Life, id damsonwinch.Run, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	r := c.findRun(life, id)
	if r == nil || !r.isOn(life) {
		// A later life, to which the run has been assigned, gets a stop of its own.
		return
	}
	switch {
	case err == nil:
		c.endpointAnswered(r.endpoint)
		if r.stopsSent == 1 {
			c.observeAnswer(r.endpoint, now.Sub(r.stopSentAt))
		}
		r.stopConfirmed, r.listedAfterStep = true, c.step
		c.requestPoll(r.endpoint)
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.otherLifeAnswered(r.endpoint, r.stopAddress, fmt.Sprintf("reply to a stop of %s attempt %d: %v", id.Task, id.Attempt, err))
	}
}

// stopResendInterval is the longest time after which an unanswered stop request is sent again.
const stopResendInterval = 400 * time.Millisecond

// resendStops sends stop requests again that have not been answered, and to a later life to which a run has been assigned
// since.
func (c *Cell) resendStops() {
	for _, e := range c.sortedEndpoints {
		for _, r := range e.runsByStart {
			if !r.stopping || r.stopConfirmed || r.state == runPending || r.state == runRequested || r.state == runUnverified {
				continue
			}
			sentHere := r.isOn(r.stopSentTo)
			if dueAt := r.stopSentAt.Add(c.stopResendDelay(r)); sentHere && c.now.Before(dueAt) {
				c.checkCallsAt(dueAt)
				continue
			}
			if sentHere {
				c.observeUnanswered(e)
			}
			c.sendStop(r)
		}
	}
}

// isOn reports whether the run is assigned to the given life. What a call to another life returns says nothing of the life
// to which the run has been assigned since.
func (r *run) isOn(life damsonwinch.Life) bool {
	return r.endpoint.info.Life == life
}

// findRun returns the run that was requested of the given life, or nil. Meanwhile the run may have
// been assigned to a later life with the same ID.
func (c *Cell) findRun(life damsonwinch.Life, id damsonwinch.Run) *run {
	if e := c.endpoints[life]; e != nil && e.runs[id] != nil {
		return e.runs[id]
	}
	for _, e := range c.livesWithID(life.ID) {
		if r := e.runs[id]; r != nil {
			return r
		}
	}
	return nil
}

// findTask returns the task with the given ID, or nil if the cell has no such task.
func (c *Cell) findTask(id damsonwinch.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil || id.Round < 0 || id.Round >= len(j.rounds) {
		return nil
	}
	r := j.rounds[id.Round]
	if id.Phase < 0 || id.Phase >= len(r.phases) {
		return nil
	}
	p := r.phases[id.Phase]
	if id.Index < 0 || id.Index >= len(p.tasks) {
		return nil
	}
	return p.tasks[id.Index]
}
