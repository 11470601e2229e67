package cell

import (
	"errors"
	"slices"
	"time"

	"damsonwinch"
)

// runState is how much is known of an attempt.
type runState int

const (
	// runPending waits for its record before it is ordered.
	runPending runState = iota
	// runRequested has been ordered and not been answered yet.
	runRequested
	// runConfirmed is known to have been on its endpoint.
	runConfirmed
	// runUncertain has been ordered, and the answer was lost.
	runUncertain
	// runUnverified was recorded by an earlier owner; its endpoint has not been
	// asked yet.
	runUnverified
)

// run is one attempt at a task that may exist.
type run struct {
	task     *task
	attempt  int
	endpoint *endpoint
	state    runState
	// listedAfterStep is the step after which the endpoint must list the run: a look sent
	// later that doesn't list it shows that it isn't there.
	listedAfterStep int
	// lastListedStep is the step of the newest look that listed it.
	lastListedStep int
	// stopping says that it is to end.
	stopping bool
	// stopSentAt is when the stop was last ordered, and stopped that the endpoint
	// has taken it: the attempt can't begin any more.
	stopSentAt    time.Time
	stopConfirmed bool
	percent       int
	startedAt     time.Time
	// resumed says that it goes on from a checkpoint, and adopted that an earlier
	// owner started it: its time tells nothing of its task's.
	resumed   bool
	inherited bool
	// pendingLoss is how it went with its endpoint, where a later life under the same ID may have it; nil
	// otherwise.
	pendingLoss *runLoss
	// jobLate says that its job could hardly be in time any more when it was started.
	jobLate  bool
	progress progress
	// progressSampled says that its pace has been taken for a sign of its endpoint's health.
	progressSampled bool
	// load is its newest figure of load: a serving task's tail in milliseconds.
	load int
	// speedPercent is the share of its speedPercent at which it was told to work, in percent.
	speedPercent int
}

func (r *run) id() damsonwinch.Run {
	return damsonwinch.Run{Task: r.task.id(), Attempt: r.attempt}
}

// planRun reserves room for a new attempt; it is ordered once it is recorded.
func (c *Cell) planRun(t *task, at *endpoint) {
	t.lastAttempt++
	r := &run{task: t, attempt: t.lastAttempt, endpoint: at, startedAt: c.now, resumed: t.checkpoint != "", speedPercent: fullPercent, jobLate: t.phase.isLate(int(c.now.UnixMilli()))}
	trial := t.suspected && c.noRecentStart(at)
	c.addRun(r)
	if trial {
		c.startProbation(r)
	}
	c.addStarts(t, 1)
	t.phase.job().placed = true
	if t.lastAttempt > 1 {
		c.stats.Reruns++
	}
	c.markDirty(t.phase.job())
	c.commits.starts = append(c.commits.starts, r)
}

// addRun ties a run to its task and endpoint.
func (c *Cell) addRun(r *run) {
	r.task.runs = append(r.task.runs, r)
	c.addToEndpoint(r)
	c.quota.AddRun(r.task.phase.job().customer, r.task.phase.quotaNeed(), r.task.phase.spec.Lasting)
	r.task.phase.job().runCount++
}

// addToEndpoint ties a run to its endpoint, and leave takes it from there.
func (c *Cell) addToEndpoint(r *run) {
	r.endpoint.runs[r.id()] = r
	r.endpoint.runsByStart = append(r.endpoint.runsByStart, r)
	c.occupy(r.endpoint, r.task.phase.need())
	c.schedulePoll(r.endpoint)
}

func (c *Cell) removeFromEndpoint(r *run) {
	delete(r.endpoint.runs, r.id())
	r.endpoint.runsByStart = slices.DeleteFunc(r.endpoint.runsByStart, func(other *run) bool { return other == r })
	c.release(r.endpoint, r.task.phase.need())
	r.endpoint.lastBusy = c.now
	if r.endpoint.probation == r {
		r.endpoint.probation = nil
	}
	c.schedulePoll(r.endpoint)
}

// removeRun takes away a run that is known not to exist any more.
func (c *Cell) removeRun(r *run) {
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	c.removeFromEndpoint(r)
	c.quota.RemoveRun(r.task.phase.job().customer, r.task.phase.quotaNeed(), r.task.phase.spec.Lasting)
	r.task.phase.job().runCount--
	c.placementDue = true
	c.markDirty(r.task.phase.job())
}

// requeue resolves a run that came to nothing and makes its task ready.
func (c *Cell) requeue(r *run) {
	c.removeRun(r)
	if len(r.task.runs) == 0 {
		c.makeReady(r.task)
	}
}

// sendStart orders a recorded run.
func (c *Cell) sendStart(r *run) {
	if r.task.phase.job().ended() || r.stopping || !r.endpoint.usable() || r.endpoint.zone.mayBeCutOff() || !c.stillFits(r) {
		c.addStarts(r.task, -1)
		c.requeue(r)
		c.stopGang(r.task.phase, "a member of its gang can't be started")
		return
	}
	r.state = runRequested
	c.logStart(r)
	r.startedAt = c.now
	until := r.endpoint.estimateClock(c.now) + int(c.options.MaxStartDelay.Milliseconds())
	c.extendLeaseBound(r.endpoint, until)
	c.stats.Starts++
	c.effects.Starts = append(c.effects.Starts, Start{Endpoint: r.endpoint.info, Request: damsonwinch.StartRequest{
		Run: r.id(), Spec: r.task.phase.job().spec.Text, Token: c.token, LeaseUntilMs: until, Checkpoint: r.task.checkpoint,
		Ticket: c.permitTicket(r.task.phase, r.endpoint),
	}})
}

// Started takes the answer to a start.
func (c *Cell) Started(now time.Time, at damsonwinch.Life, which damsonwinch.Run, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	r := c.findRun(at, which)
	if r == nil || r.state != runRequested {
		return
	}
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.addressAnswered(r.endpoint)
	case err == nil, isStartRefusal(err):
		c.endpointAnswered(r.endpoint)
	}
	switch {
	case errors.Is(err, damsonwinch.ErrNotSent):
		c.startNotSent(r, err)
	case err == nil:
		r.state, r.listedAfterStep = runConfirmed, c.step
		r.task.phase.job().begun = true
		r.task.refusals = 0
		if r.stopping {
			c.stop(r, "asked for before it began")
		}
	case isStartRefusal(err):
		c.startRefused(r, err)
	default:
		r.state = runUncertain
		c.logRun("start unanswered", r, err.Error())
		c.requestPoll(r.endpoint)
		if spec := r.task.phase.spec; spec.Lasting && !spec.Gang && !r.stopping {
			// Whether it is at work is asked first: if so, it is not to be stopped.
			r.listedAfterStep = c.step
			return
		}
		c.stop(r, "its start was not answered")
		c.stopGang(r.task.phase, "the start of a member of its gang was not answered")
	}
}

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

// startRefused takes back a run that its endpoint has turned away.
func (c *Cell) startRefused(r *run, err error) {
	c.stats.StartsRefused++
	c.addStarts(r.task, -1)
	c.logRun("start refused", r, err.Error())
	defer c.stopGang(r.task.phase, "a member of its gang was refused")
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.requeue(r)
		c.markLost(r.endpoint, "another life answers at its address")
		return
	case errors.Is(err, damsonwinch.ErrNoCapacity), errors.Is(err, damsonwinch.ErrUnhealthy):
		// Its own count of room or its health differs from what is known here.
		r.endpoint.backoffUntil = c.now.Add(endpointBackoff)
	}
	if errors.Is(err, damsonwinch.ErrInvalidTicket) {
		r.task.phase.dropPermit(r.endpoint)
		c.requeue(r)
		return
	}
	r.task.avoid = r.endpoint.info.Life
	c.backOffTask(r.task)
	c.requeue(r)
}

// backOffTask lets the starts of a task come further apart that endpoints refuse for good: each
// costs a record and a call, and what one calls invalid the next one will as well.
func (c *Cell) backOffTask(t *task) {
	t.notBefore = c.now.Add(min(maxStartBackoff, minStartBackoff<<min(t.refusals, 8)))
	t.refusals++
}

// Times by which a refused start is put back: as long as another endpoint may take it soon, and
// until a change of the endpoints' programs would be noticed.
const (
	minStartBackoff = 100 * time.Millisecond
	maxStartBackoff = 2 * time.Second
)

// startNotSent takes back a run whose order has certainly not come to its endpoint.
func (c *Cell) startNotSent(r *run, err error) {
	c.logRun("start not sent", r, err.Error())
	c.addStarts(r.task, -1)
	c.requestPoll(r.endpoint)
	r.endpoint.backoffUntil = c.now.Add(endpointBackoff)
	c.requeue(r)
	c.stopGang(r.task.phase, "a member of its gang could not be started")
}

// endpointBackoff keeps an endpoint that turned a task away from being asked again
// at once; several looks come back within it.
const endpointBackoff = 300 * time.Millisecond

// stop asks for the end of a run.
func (c *Cell) stop(r *run, why string) {
	if r.state == runPending {
		// It has not been ordered; sendStart or the commit takes it back.
		r.stopping = true
		return
	}
	if r.stopping && r.stopConfirmed {
		return
	}
	if !r.stopping {
		c.logRun("stop", r, why)
	}
	r.stopping = true
	if r.state == runRequested {
		// The answer to the start is on its way; a stop that overtakes it would
		// still hold, but the answer tells more.
		return
	}
	c.sendStop(r)
}

func (c *Cell) sendStop(r *run) {
	r.stopSentAt = c.now
	c.effects.Stops = append(c.effects.Stops, Stop{Endpoint: r.endpoint.info, Request: damsonwinch.StopRequest{Run: r.id(), Token: c.token}})
}

// Stopped takes the answer to a stop.
func (c *Cell) Stopped(now time.Time, at damsonwinch.Life, which damsonwinch.Run, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	r := c.findRun(at, which)
	if r == nil {
		return
	}
	switch {
	case err == nil:
		c.endpointAnswered(r.endpoint)
		r.stopConfirmed, r.listedAfterStep = true, c.step
		c.requestPoll(r.endpoint)
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.markLost(r.endpoint, "another life answers at its address")
	}
}

// stopResendInterval is the time after which an unanswered stop is sent again.
const stopResendInterval = 400 * time.Millisecond

// resendStops sends stops again that nobody has answered.
func (c *Cell) resendStops() {
	for _, e := range c.sortedEndpoints {
		for _, r := range e.runsByStart {
			if r.stopping && !r.stopConfirmed && r.state != runPending && r.state != runRequested && r.state != runUnverified &&
				c.now.Sub(r.stopSentAt) >= stopResendInterval {
				c.sendStop(r)
			}
		}
	}
}

// findRun returns a run that was ordered at a life; a later one under its ID may have it.
func (c *Cell) findRun(at damsonwinch.Life, which damsonwinch.Run) *run {
	if e := c.endpoints[at]; e != nil && e.runs[which] != nil {
		return e.runs[which]
	}
	for _, e := range c.livesWithID(at.ID) {
		if r := e.runs[which]; r != nil {
			return r
		}
	}
	return nil
}

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
