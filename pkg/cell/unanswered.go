package cell

import (
	"time"

	"damsonwinch/pkg/responsiveness"
)

// shortPollDivisor divides PollWait while calls stay unanswered. A poll that gets lost delays the results on its
// endpoint by the time for which it would have been held.
const shortPollDivisor = 3

// answerBound returns the time after which a call to an endpoint counts as unanswered. It returns false while too few
// calls have been answered to tell.
func (c *Cell) answerBound(e *endpoint) (time.Duration, bool) {
	bound, known := c.answerTimes.Bound()
	if !known {
		return 0, false
	}
	return e.calls.Bound(c.now, bound), true
}

// observeAnswer counts a call that an endpoint has answered after the given time. While the owner catches up after a
// pause, the time says nothing about the endpoint.
func (c *Cell) observeAnswer(e *endpoint, took time.Duration) {
	if !c.pauses.CaughtUp(c.now) {
		return
	}
	c.answerTimes.Observe(took)
	c.countAnswer(e, took)
}

// countAnswer counts an answer to a call that an endpoint may have held. took is a lower bound of the time that it took
// to answer beside that.
func (c *Cell) countAnswer(e *endpoint, took time.Duration) {
	e.calls.ObserveAnswer(c.now, took)
	c.calls.ObserveAnswer(c.now, took)
	if e.suspected && e.calls.Recovered() {
		e.suspected = false
		c.placementDue = true
		c.logEndpoint("endpoint answers its calls again", e, "")
	}
}

// observeUnanswered counts a call that an endpoint has not answered in time, and suspects the endpoint if too many of
// its calls stay unanswered.
func (c *Cell) observeUnanswered(e *endpoint) {
	if !c.pauses.CaughtUp(c.now) {
		return
	}
	e.calls.ObserveUnanswered(c.now)
	c.calls.ObserveUnanswered(c.now)
	if !e.suspected && !e.zone.mayBeCutOff() && e.calls.Suspect(c.now, &c.calls) && c.maySuspect() {
		e.suspected, e.suspectedSince = true, c.now
		c.stats.Suspicions++
		c.logEndpoint("endpoint suspected", e, "it leaves many calls unanswered")
	}
}

// maySuspect reports whether the cell can do without one more endpoint.
func (c *Cell) maySuspect() bool {
	excluded, usable := c.countExcluded()
	return mayBeExcluded(excluded+1, usable)
}

// mayBeExcluded reports whether so many of a cell's usable endpoints may be ejected or suspected. At least one is left.
func mayBeExcluded(excluded, usable int) bool {
	return excluded < usable && responsiveness.MayExclude(excluded-1, max(usable, minEjectionBase))
}

// limitSuspected puts suspected endpoints back into use while too many are excluded, because others have exited or
// can't be used.
func (c *Cell) limitSuspected() {
	for _, e := range c.sortedEndpoints {
		if !e.suspected || !e.usable() {
			continue
		}
		if excluded, usable := c.countExcluded(); mayBeExcluded(excluded, usable) {
			return
		}
		e.suspected = false
		c.placementDue = true
		c.logEndpoint("endpoint used although suspected", e, "too few others are left")
	}
}

// countExcluded returns how many of the cell's usable endpoints are ejected or suspected, and how many are usable.
func (c *Cell) countExcluded() (excluded, usable int) {
	for _, e := range c.sortedEndpoints {
		if !e.usable() {
			continue
		}
		usable++
		if e.suspected || c.now.Before(e.health.ejectedUntil) {
			excluded++
		}
	}
	return excluded, usable
}

// leavesUnanswered reports whether the endpoint gets no new work because of unanswered calls.
func (e *endpoint) leavesUnanswered() bool {
	return e.overdue || e.suspected
}

// pollWait returns for how long an endpoint may hold the next poll.
func (c *Cell) pollWait(e *endpoint) time.Duration {
	if c.calls.LeavesUnanswered(c.now) || e.calls.LeavesUnanswered(c.now) {
		return c.options.PollWait / shortPollDivisor
	}
	return c.options.PollWait
}

// idlePollInterval returns the time between polls of an endpoint without runs. The polls of a suspected endpoint show
// whether it answers again.
func (c *Cell) idlePollInterval(e *endpoint) time.Duration {
	if e.suspected {
		return c.options.PollRetryInterval
	}
	return c.options.IdlePollInterval
}

// checkUnanswered reacts to calls that have not been answered within the usual time, long before their timeouts. The
// calls stay in flight: a late reply still counts.
func (c *Cell) checkUnanswered() {
	c.callsDueAt = time.Time{}
	shortest, known := c.answerTimes.Bound()
	if !known || !c.pauses.CaughtUp(c.now) || !c.pauses.CaughtUpBusy(c.now) {
		return
	}
	for _, e := range c.sortedEndpoints {
		if e.exited {
			continue
		}
		oldest, found := e.oldestCall()
		if !found {
			continue
		}
		bound := shortest
		if c.now.Sub(oldest) >= bound {
			bound = e.calls.Bound(c.now, shortest)
		}
		if c.now.Sub(oldest) < bound {
			c.checkCallsAt(oldest.Add(bound))
			continue
		}
		c.doubtStarts(e, bound)
		if !e.silent {
			c.repeatPolls(e, bound)
		}
	}
}

// checkCallsAt makes the next tick come no later than the given time, at which a call counts as unanswered. Each call
// is in flight for at least one regular tick before that.
func (c *Cell) checkCallsAt(at time.Time) {
	if c.callsDueAt.IsZero() || at.Before(c.callsDueAt) {
		c.callsDueAt = at
	}
}

// oldestCall returns the earliest time at which a start or poll of the endpoint could have been answered that is in
// flight and has not been found overdue yet. It returns false if there is none.
func (e *endpoint) oldestCall() (oldest time.Time, found bool) {
	consider := func(at time.Time) {
		if !found || at.Before(oldest) {
			oldest, found = at, true
		}
	}
	for _, sent := range []*sentPoll{e.polls.immediate, e.polls.waiting} {
		if sent != nil {
			consider(sent.sentAt.Add(sent.maxWait))
		}
	}
	for _, r := range e.runsByStart {
		if r.state == runRequested {
			consider(r.startedAt)
		}
	}
	return oldest, found
}

// doubtStarts has a poll show whether the runs exist whose starts have not been answered in time. If the poll doesn't
// list such a run, it is stopped, and a stop that is confirmed lets its task start elsewhere.
func (c *Cell) doubtStarts(e *endpoint, bound time.Duration) {
	for _, r := range e.runsByStart {
		if r.state != runRequested || c.now.Sub(r.startedAt) < bound {
			continue
		}
		r.state, r.startOverdue, r.listedAfterStep = runUncertain, true, c.step
		if r.isOn(r.startSentTo) {
			c.observeUnanswered(e)
		}
		c.logRun("start overdue", r, "")
		c.requestPoll(e)
		if r.stopping {
			// The stop has waited for the reply to the start.
			c.sendStop(r)
		}
	}
}

// repeatPolls sends a poll again if it has not been answered in time, on another connection.
func (c *Cell) repeatPolls(e *endpoint, bound time.Duration) {
	for _, place := range []**sentPoll{&e.polls.waiting, &e.polls.immediate} {
		sent := *place
		if sent == nil || c.now.Sub(sent.sentAt) < sent.maxWait+bound || len(e.polls.overdue) >= responsiveness.MaxUnansweredPolls {
			continue
		}
		*place, sent.overdue = nil, true
		e.polls.overdue = append(e.polls.overdue, sent)
		c.observeUnanswered(e)
		c.requestPoll(e)
	}
}

// repeatedRenewalInterval is the time between two renewals of leases by polls that repeat unanswered ones. Leases last
// for several seconds.
const repeatedRenewalInterval = time.Second

// skipsRenewal reports whether the next poll renews no leases, because it repeats an unanswered one. If the endpoint is
// cut off, each renewal makes its tasks wait longer until they may start elsewhere.
func (c *Cell) skipsRenewal(e *endpoint) bool {
	return len(e.polls.overdue) > 0 && c.now.Sub(e.polls.renewedAt) < repeatedRenewalInterval
}

// stopUnanswered stops a run whose start was not answered, together with its gang.
func (c *Cell) stopUnanswered(r *run) {
	c.stop(r, "its start was not answered")
	c.stopGang(r.task.phase, "the start of a member of its gang was not answered")
}

// stopResendDelay returns the time after which an unanswered stop request is sent again.
func (c *Cell) stopResendDelay(r *run) time.Duration {
	bound, known := c.answerBound(r.endpoint)
	if !known {
		return stopResendInterval
	}
	return min(stopResendInterval, responsiveness.ResendDelay(bound, r.stopsSent))
}
