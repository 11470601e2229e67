package cell

import (
	"errors"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// reportedExitPollInterval is the time between two polls of an endpoint whose exit is known only from a
// report, while the registry lists it. Most have exited, and their registrations expire in some
// seconds.
const reportedExitPollInterval = 2 * time.Second

// maxUnnumberedListAge is the time without an answer of an endpoint after which the list of a planner that names no report
// counts as newer than the last answer. Such planners, of earlier versions, request a list each 0.4 s.
const maxUnnumberedListAge = 2 * time.Second

// reportedExited handles the planner's report that an endpoint has exited: a list of boxes doesn't have
// it. An endpoint that answers lives, whatever the list says, so it is polled first. The planner repeats
// its report while it has the endpoint in the cell's report.
func (c *Cell) reportedExited(e *endpoint, args wire.SyncArgs) {
	switch {
	case e.exited:
	case c.mayAnswer(e):
		c.requestPoll(e)
	case c.listFollowsAnswer(e, args):
		c.markLostByReport(e, "the fleet planner has seen its box without it", removal{
			reason: removedByPlanner, source: plannerListSource(args),
		})
	}
}

// listFollowsAnswer reports whether the planner requested its list of boxes after the endpoint had last answered this owner:
// it already had a report that this owner made after the answer. The clocks of the two nodes can't be compared.
func (c *Cell) listFollowsAnswer(e *endpoint, args wire.SyncArgs) bool {
	if args.BoxesAfterToken == 0 {
		return c.now.Sub(e.aliveAt) >= maxUnnumberedListAge
	}
	return args.BoxesAfterToken == c.token && args.BoxesAfterReport > e.reportsBefore
}

// plannerListSource describes the list of boxes of the planner as the source of a removal.
func plannerListSource(args wire.SyncArgs) string {
	if args.BoxesAfterToken == 0 {
		return "list of a planner that names no report"
	}
	return fmt.Sprintf("list requested after report %d to the planner", args.BoxesAfterReport)
}

// passOverYoung makes the lists not count that the planner requests before its next report, for endpoints that have just
// started.
func (c *Cell) passOverYoung() {
	for _, e := range c.sortedEndpoints {
		if e.isYoung(c.now) {
			e.reportsBefore = c.lastSync.reportNumber
		}
	}
}

// mayAnswer reports whether a poll will show whether an endpoint has exited: it has answered the last one,
// or is registered and hasn't been polled by this owner. The boxes of withdrawn endpoints have been moved
// or maintained.
func (c *Cell) mayAnswer(e *endpoint) bool {
	return !e.silent && !e.withdrawn && (e.attached || e.listed && e.info.Address != "")
}

// pollExited polls an endpoint that counts as exited, if only a report says so and the registry still
// lists it. If the report was wrong, the endpoint is used again, and its runs that were given up are
// stopped.
func (c *Cell) pollExited(e *endpoint) {
	if !e.exitReported || !e.listed || e.withdrawn || e.info.Address == "" || c.superseded(e) {
		return
	}
	if e.polls.immediate == nil && c.now.Sub(e.polls.lastSentAt) >= reportedExitPollInterval {
		c.sendPoll(e, 0)
	}
}

// survivedReport handles the reply to a poll of an endpoint that counts as exited, or the poll's error. It
// returns true if the reply is from this life, which therefore has not exited. Then the endpoint counts
// as one that was silent.
func (c *Cell) survivedReport(e *endpoint, sent *sentPoll, reply damsonwinch.PollReply, err error) bool {
	if !e.exitReported || sent.step < e.exitStep {
		return false
	}
	if err != nil {
		if errors.Is(err, damsonwinch.ErrOtherLife) {
			e.exitReported = false
		}
		return false
	}
	if !e.info.Life.WithStarted(reply.StartedUnixMs).MayBeSame(e.info.Life) || c.superseded(e) {
		return false
	}
	c.stats.FalseExits++
	c.logEndpoint("endpoint had not exited", e, "a list of boxes lacked it; before this answer, "+c.lastAnswer(e))
	e.exited, e.exitReported, e.silent = false, false, true
	return true
}

// lastAnswer says for log lines how long ago an endpoint last answered a call of this owner.
func (c *Cell) lastAnswer(e *endpoint) string {
	if e.polls.answeredStep == 0 {
		return "it has not answered this owner"
	}
	return fmt.Sprintf("it last answered %d ms ago", c.now.Sub(e.aliveAt).Milliseconds())
}
