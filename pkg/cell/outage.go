package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch/pkg/wire"
)

const (
	// storeOutageAfter is how long an append may be in flight before the store is taken to be down.
	// On a slow day the store answers within about 350 ms.
	storeOutageAfter = 600 * time.Millisecond
	// maxUnrecordedWait bounds how long a job waits for a store that is down if its client does not
	// say how long it waits itself. Users' clients wait three seconds.
	maxUnrecordedWait = 2400 * time.Millisecond
	// replyMargin is the part of a client's wait that is kept for the reply to reach it.
	replyMargin = 150 * time.Millisecond
	// retryAfter is how long refused clients are told to wait before they try again. Users report
	// store outages of several seconds.
	retryAfter = time.Second
)

// refuseUnrecordedJobs refuses the jobs that wait for a store that is down, once their clients stop
// waiting or the jobs can no longer meet their deadlines. The store has never received these jobs,
// so they certainly do not run.
func (c *Cell) refuseUnrecordedJobs() {
	sent := c.commits.inFlight
	if sent == nil || c.now.Sub(sent.sentAt) < storeOutageAfter {
		return
	}
	for _, j := range slices.Clone(c.activeJobs) {
		if _, isSent := sent.states[j]; !j.recorded && !isSent && !j.ended() && !c.now.Before(c.refuseAt(j)) {
			c.refuseJob(j, fmt.Sprintf("the store has not answered for %d ms", c.now.Sub(sent.sentAt).Milliseconds()))
		}
	}
}

// refuseAt returns when an unrecorded job is refused: when its client stops waiting, or when one of
// its phases becomes late, if that is earlier.
func (c *Cell) refuseAt(j *job) time.Time {
	until := j.clientWaitsUntil
	for _, r := range j.rounds {
		for _, p := range r.phases {
			if lateAt := time.UnixMilli(int64(p.lateAtMs)); p.lateAtMs > 0 && lateAt.Before(until) {
				until = lateAt
			}
		}
	}
	return until
}

// extendClientWait notes that a client waits for the reply to its submission for waitMs
// milliseconds from now.
func (j *job) extendClientWait(now time.Time, waitMs int) {
	if until := refusalTime(now, waitMs); until.After(j.clientWaitsUntil) {
		j.clientWaitsUntil = until
	}
}

// refusalTime returns when a call has to be refused so that the client, which waits for waitMs milliseconds from now,
// gets the reply. If waitMs is 0 the client does not say how long, and maxUnrecordedWait is assumed.
func refusalTime(now time.Time, waitMs int) time.Time {
	if waitMs > 0 {
		return now.Add(time.Duration(waitMs)*time.Millisecond - replyMargin)
	}
	return now.Add(maxUnrecordedWait)
}

// refuseJob refuses a job that was never recorded and undoes everything that followed from its
// submission.
func (c *Cell) refuseJob(j *job, reason string) {
	c.logJob("job refused", j, reason)
	c.stats.JobsRefused++
	c.withdrawCharge(j)
	var runs []*run
	for _, r := range j.rounds {
		for _, p := range r.phases {
			c.closePhase(p)
			for _, t := range p.tasks {
				runs = append(runs, t.runs...)
			}
		}
	}
	for _, r := range runs {
		c.logRemoval(r, removal{reason: removedJobRefused, source: reason})
		c.removeRun(r)
	}
	c.commits.starts = slices.DeleteFunc(c.commits.starts, func(r *run) bool { return slices.Contains(runs, r) })
	c.commits.replies = slices.DeleteFunc(c.commits.replies, func(pending pendingReply) bool {
		if pending.job != j {
			return false
		}
		c.reply(pending.CallID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: int(retryAfter.Milliseconds())})
		return true
	})
	delete(c.commits.dirtyJobs, j.id)
	c.removeJob(j)
	c.activeJobs = slices.DeleteFunc(c.activeJobs, func(other *job) bool { return other == j })
}
