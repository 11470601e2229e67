package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch/pkg/wire"
)

const (
	// storeOutageAfter is the age of an append on its way from which the store counts as away;
	// on a slow day it answers within some 350 ms.
	storeOutageAfter = 600 * time.Millisecond
	// maxUnrecordedWait bounds how long a job waits for a store that is away where its client
	// doesn't tell how long it waits; the users' wait three seconds.
	maxUnrecordedWait = 2400 * time.Millisecond
	// replyMargin is left of a client's time for the answer's way back.
	replyMargin = 150 * time.Millisecond
	// retryAfter tells a refused client when to try again: the store's outages that the
	// users name last some seconds.
	retryAfter = time.Second
)

// refuseUnrecordedJobs refuses the jobs that wait for a store that is away and can't be done in
// time any more. The store has never been given them, so that they certainly don't run.
func (c *Cell) refuseUnrecordedJobs() {
	sent := c.commits.inFlight
	if sent == nil || c.now.Sub(sent.sentAt) < storeOutageAfter {
		return
	}
	for _, j := range slices.Clone(c.activeJobs) {
		if _, given := sent.states[j]; !j.recorded && !given && !j.ended() && !c.now.Before(c.refuseAt(j)) {
			c.refuseJob(j, fmt.Sprintf("the store has not answered for %d ms", c.now.Sub(sent.sentAt).Milliseconds()))
		}
	}
}

// refuseAt returns until when a job that isn't kept yet is worth holding.
func (c *Cell) refuseAt(j *job) time.Time {
	until := j.clientWaitsUntil
	for _, r := range j.rounds {
		for _, p := range r.phases {
			if late := time.UnixMilli(int64(p.lateAtMs)); p.lateAtMs > 0 && late.Before(until) {
				until = late
			}
		}
	}
	return until
}

// extendClientWait notes how long the caller who hands a job in waits for the answer.
func (j *job) extendClientWait(now time.Time, waitMs int) {
	until := now.Add(maxUnrecordedWait)
	if waitMs > 0 {
		until = now.Add(time.Duration(waitMs)*time.Millisecond - replyMargin)
	}
	if until.After(j.clientWaitsUntil) {
		j.clientWaitsUntil = until
	}
}

// refuseJob takes back all that a job that was never recorded has led to.
func (c *Cell) refuseJob(j *job, why string) {
	c.logJob("job refused", j, why)
	c.stats.JobsRefused++
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
		c.removeRun(r)
	}
	c.commits.starts = slices.DeleteFunc(c.commits.starts, func(r *run) bool { return slices.Contains(runs, r) })
	c.commits.replies = slices.DeleteFunc(c.commits.replies, func(waiting pendingReply) bool {
		if waiting.job != j {
			return false
		}
		c.reply(waiting.CallID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: why, RetryAfterMs: int(retryAfter.Milliseconds())})
		return true
	})
	delete(c.commits.dirtyJobs, j.id)
	delete(c.jobs, j.id)
	c.activeJobs = slices.DeleteFunc(c.activeJobs, func(other *job) bool { return other == j })
}
