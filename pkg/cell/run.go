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
	// runIntended waits for its record before it is ordered.
	runIntended runState = iota
	// runOrdered has been ordered and not been answered yet.
	runOrdered
	// runConfirmed is known to have been on its endpoint.
	runConfirmed
	// runUncertain has been ordered, and the answer was lost.
	runUncertain
	// runSuspect was recorded by an earlier owner; its endpoint has not been
	// asked yet.
	runSuspect
)

// run is one attempt at a task that may exist.
type run struct {
	task    *task
	attempt int
	at      *endpoint
	state   runState
	// knownAt is the step after which the endpoint must list the run: a look sent
	// later that doesn't list it shows that it isn't there.
	knownAt int
	// listedAt is the step of the newest look that listed it.
	listedAt int
	// stopping says that it is to end.
	stopping bool
	// stopSent is when the stop was last ordered, and stopped that the endpoint
	// has taken it: the attempt can't begin any more.
	stopSent time.Time
	stopped  bool
	percent  int
	since    time.Time
	// resumed says that it goes on from a checkpoint, and adopted that an earlier
	// owner started it: its time tells nothing of its task's.
	resumed bool
	adopted bool
	// lost is how it went with its endpoint, where a later life under the same ID may have it; nil
	// otherwise.
	lost *lostRun
	// late says that its job could hardly be in time any more when it was started.
	late bool
	pace pace
	// judged says that its pace has been taken for a sign of its endpoint's health.
	judged bool
	// load is its newest figure of load: a serving task's tail in milliseconds.
	load int
	// speed is the share of its speed at which it was told to work, in percent.
	speed int
}

func (r *run) order() damsonwinch.Run {
	return damsonwinch.Run{Task: r.task.id(), Attempt: r.attempt}
}

// intend reserves room for a new attempt; it is ordered once it is recorded.
func (c *Cell) intend(t *task, at *endpoint) {
	t.lastAttempt++
	r := &run{task: t, attempt: t.lastAttempt, at: at, since: c.now, resumed: t.checkpoint != "", speed: fullPercent, late: t.phase.isLate(int(c.now.UnixMilli()))}
	trial := t.suspected && c.quiet(at)
	c.attach(r)
	if trial {
		c.beginTrial(r)
	}
	c.countStarts(t, 1)
	t.phase.job().placed = true
	if t.lastAttempt > 1 {
		c.stats.Reruns++
	}
	c.markDirty(t.phase.job())
	c.commits.starts = append(c.commits.starts, r)
}

// attach ties a run to its task and endpoint.
func (c *Cell) attach(r *run) {
	r.task.runs = append(r.task.runs, r)
	c.enter(r)
	c.quota.AddRun(r.task.phase.job().customer, r.task.phase.quotaNeed(), r.task.phase.spec.Lasting)
	r.task.phase.job().runCount++
}

// enter ties a run to its endpoint, and leave takes it from there.
func (c *Cell) enter(r *run) {
	r.at.runs[r.order()] = r
	r.at.ordered = append(r.at.ordered, r)
	c.occupy(r.at, r.task.phase.need())
	c.lookSoon(r.at)
}

func (c *Cell) leave(r *run) {
	delete(r.at.runs, r.order())
	r.at.ordered = slices.DeleteFunc(r.at.ordered, func(other *run) bool { return other == r })
	c.release(r.at, r.task.phase.need())
	r.at.lastBusy = c.now
	if r.at.trial == r {
		r.at.trial = nil
	}
	c.lookSoon(r.at)
}

// resolve takes away a run that is known not to exist any more.
func (c *Cell) resolve(r *run) {
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	c.leave(r)
	c.quota.RemoveRun(r.task.phase.job().customer, r.task.phase.quotaNeed(), r.task.phase.spec.Lasting)
	r.task.phase.job().runCount--
	c.placementDue = true
	c.markDirty(r.task.phase.job())
}

// again resolves a run that came to nothing and makes its task ready.
func (c *Cell) again(r *run) {
	c.resolve(r)
	if len(r.task.runs) == 0 {
		c.makeReady(r.task)
	}
}

// sendStart orders a recorded run.
func (c *Cell) sendStart(r *run) {
	if r.task.phase.job().ended() || r.stopping || !r.at.usable() || r.at.zone.inDoubt() || !c.stillFits(r) {
		c.countStarts(r.task, -1)
		c.again(r)
		c.abandonGang(r.task.phase, "a member of its gang can't be started")
		return
	}
	r.state = runOrdered
	c.logStart(r)
	r.since = c.now
	until := r.at.clock(c.now) + int(c.options.MaxStartDelay.Milliseconds())
	c.prolong(r.at, until)
	c.stats.Starts++
	c.effects.Starts = append(c.effects.Starts, Start{Endpoint: r.at.info, Request: damsonwinch.StartRequest{
		Run: r.order(), Spec: r.task.phase.job().spec.Text, Token: c.token, LeaseUntilMs: until, Checkpoint: r.task.checkpoint,
		Ticket: c.permitTicket(r.task.phase, r.at),
	}})
}

// Started takes the answer to a start.
func (c *Cell) Started(now time.Time, at damsonwinch.Life, which damsonwinch.Run, err error) {
	c.beginEvent(now)
	defer c.finishEvent()
	r := c.findRun(at, which)
	if r == nil || r.state != runOrdered {
		return
	}
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.answered(r.at)
	case err == nil, refusedStart(err):
		c.heard(r.at)
	}
	switch {
	case errors.Is(err, damsonwinch.ErrNotSent):
		c.notSent(r, err)
	case err == nil:
		r.state, r.knownAt = runConfirmed, c.step
		r.task.phase.job().begun = true
		r.task.refusals = 0
		if r.stopping {
			c.stop(r, "asked for before it began")
		}
	case refusedStart(err):
		c.refused(r, err)
	default:
		r.state = runUncertain
		c.logRun("start unanswered", r, err.Error())
		c.wantLook(r.at)
		if spec := r.task.phase.spec; spec.Lasting && !spec.Gang && !r.stopping {
			// Whether it is at work is asked first: if so, it is not to be stopped.
			r.knownAt = c.step
			return
		}
		c.stop(r, "its start was not answered")
		c.abandonGang(r.task.phase, "the start of a member of its gang was not answered")
	}
}

func refusedStart(err error) bool {
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

// refused takes back a run that its endpoint has turned away.
func (c *Cell) refused(r *run, err error) {
	c.stats.StartsRefused++
	c.countStarts(r.task, -1)
	c.logRun("start refused", r, err.Error())
	defer c.abandonGang(r.task.phase, "a member of its gang was refused")
	switch {
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.again(r)
		c.lose(r.at, "another life answers at its address")
		return
	case errors.Is(err, damsonwinch.ErrNoCapacity), errors.Is(err, damsonwinch.ErrUnhealthy):
		// Its own count of room or its health differs from what is known here.
		r.at.pauseUntil = c.now.Add(refusalPause)
	}
	if errors.Is(err, damsonwinch.ErrInvalidTicket) {
		r.task.phase.dropPermit(r.at)
		c.again(r)
		return
	}
	r.task.avoid = r.at.info.Life
	c.putBack(r.task)
	c.again(r)
}

// putBack lets the starts of a task come further apart that endpoints refuse for good: each
// costs a record and a call, and what one calls invalid the next one will as well.
func (c *Cell) putBack(t *task) {
	t.notBefore = c.now.Add(min(mostPutBack, leastPutBack<<min(t.refusals, 8)))
	t.refusals++
}

// Times by which a refused start is put back: as long as another endpoint may take it soon, and
// until a change of the endpoints' programs would be noticed.
const (
	leastPutBack = 100 * time.Millisecond
	mostPutBack  = 2 * time.Second
)

// notSent takes back a run whose order has certainly not come to its endpoint.
func (c *Cell) notSent(r *run, err error) {
	c.logRun("start not sent", r, err.Error())
	c.countStarts(r.task, -1)
	c.wantLook(r.at)
	r.at.pauseUntil = c.now.Add(refusalPause)
	c.again(r)
	c.abandonGang(r.task.phase, "a member of its gang could not be started")
}

// refusalPause keeps an endpoint that turned a task away from being asked again
// at once; several looks come back within it.
const refusalPause = 300 * time.Millisecond

// stop asks for the end of a run.
func (c *Cell) stop(r *run, why string) {
	if r.state == runIntended {
		// It has not been ordered; sendStart or the commit takes it back.
		r.stopping = true
		return
	}
	if r.stopping && r.stopped {
		return
	}
	if !r.stopping {
		c.logRun("stop", r, why)
	}
	r.stopping = true
	if r.state == runOrdered {
		// The answer to the start is on its way; a stop that overtakes it would
		// still hold, but the answer tells more.
		return
	}
	c.sendStop(r)
}

func (c *Cell) sendStop(r *run) {
	r.stopSent = c.now
	c.effects.Stops = append(c.effects.Stops, Stop{Endpoint: r.at.info, Request: damsonwinch.StopRequest{Run: r.order(), Token: c.token}})
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
		c.heard(r.at)
		r.stopped, r.knownAt = true, c.step
		c.wantLook(r.at)
	case errors.Is(err, damsonwinch.ErrOtherLife):
		c.lose(r.at, "another life answers at its address")
	}
}

// retryStop is the time after which an unanswered stop is sent again.
const retryStop = 400 * time.Millisecond

// retryOrders sends stops again that nobody has answered.
func (c *Cell) retryOrders() {
	for _, e := range c.sortedEndpoints {
		for _, r := range e.ordered {
			if r.stopping && !r.stopped && r.state != runIntended && r.state != runOrdered && r.state != runSuspect &&
				c.now.Sub(r.stopSent) >= retryStop {
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
	for _, e := range c.livesUnder(at.ID) {
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
