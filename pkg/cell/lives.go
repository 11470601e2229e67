package cell

import (
	"math"
	"slices"

	"damsonwinch"
)

// indexOfLife returns the index in sortedEndpoints at which a life is or would be inserted.
func (c *Cell) indexOfLife(life damsonwinch.Life) int {
	i, _ := slices.BinarySearchFunc(c.sortedEndpoints, life, func(e *endpoint, l damsonwinch.Life) int { return e.info.Life.Compare(l) })
	return i
}

// livesWithID returns the known lives with an ID, ordered by their start times.
func (c *Cell) livesWithID(id string) []*endpoint {
	from := c.indexOfLife(damsonwinch.Life{ID: id, StartedUnixMs: math.MinInt})
	to := from
	for to < len(c.sortedEndpoints) && c.sortedEndpoints[to].info.Life.ID == id {
		to++
	}
	return c.sortedEndpoints[from:to]
}

// superseded reports whether a life has exited and another one with the same ID is known.
func (c *Cell) superseded(e *endpoint) bool {
	return e.exited && len(c.livesWithID(e.info.Life.ID)) > 1
}

// lastAnsweredStep returns the step at which the newest poll was sent that any life with this ID
// has answered. The life that has answered it is the one that is running now. Start times don't
// show that, since a box's clock may have been set back.
func (c *Cell) lastAnsweredStep(id string) int {
	newest := 0
	for _, e := range c.livesWithID(id) {
		newest = max(newest, e.polls.answeredStep)
	}
	return newest
}

// answeringLife returns the life that has answered a poll of e, according to the start time that it
// reports. It returns nil if that life is known to have exited.
func (c *Cell) answeringLife(e *endpoint, sent *sentPoll, startedUnixMs int) *endpoint {
	life := e.info.Life.WithStarted(startedUnixMs)
	if life.MayBeSame(e.info.Life) {
		return e
	}
	answering, known := c.endpoints[life]
	if !known {
		// The life is not listed by the registry yet. It gets no work until then.
		answering = c.ensureEndpoint(life)
		answering.info = e.info
		answering.info.Life = life
		c.updateZone(answering)
	}
	if answering.exited {
		c.pollFailed(e, sent, errExitedLife)
		return nil
	}
	return answering
}

// supersedeOtherLives marks all other lives with the ID of current as exited, since current has
// answered the poll sent. Their runs are assigned to current if they may have moved there, and lost
// otherwise.
func (c *Cell) supersedeOtherLives(current *endpoint, reply damsonwinch.PollReply, sent *sentPoll) {
	by := removal{reason: removedOtherLife, source: c.pollSource(sent) + ", answered by " + current.info.Life.String()}
	for _, earlier := range c.livesWithID(current.info.Life.ID) {
		if earlier == current {
			continue
		}
		moved := func(r *run) bool { return c.mayHaveMoved(r, reply, sent.step) }
		c.markLostKeeping(earlier, "another life answers under its ID", by, moved)
		for _, r := range earlier.sortedRuns() {
			switch {
			case r.state == runPending:
				// It is removed when its record is committed.
			case moved(r):
				c.moveRunTo(r, current)
			default:
				c.removeMissingRun(r, by)
			}
		}
	}
}

// mayHaveMoved reports whether r, which was requested of another life with the same ID, may run on
// the life that has answered a poll. Either the reply lists it, or is truncated and might list it, or its start
// request may still have been on its way when the poll was sent, at sentStep.
func (c *Cell) mayHaveMoved(r *run, reply damsonwinch.PollReply, sentStep int) bool {
	switch r.state {
	case runPending:
		return false
	case runRequested, runUncertain:
		return true
	case runConfirmed:
		if r.listedAfterStep > sentStep {
			return true
		}
	}
	return reply.Truncated ||
		slices.ContainsFunc(reply.Running, func(progress damsonwinch.RunProgress) bool { return progress.Run == r.id() }) ||
		slices.ContainsFunc(reply.Finished, func(result damsonwinch.RunResult) bool { return result.Run == r.id() })
}

// moveRunTo assigns a run to a later life with the same ID. It isn't known yet whether the run
// exists there.
func (c *Cell) moveRunTo(r *run, later *endpoint) {
	c.logRun("run may be on a later life of its endpoint", r, "now "+later.info.Life.String())
	c.removeFromEndpoint(r)
	r.endpoint = later
	c.addToEndpoint(r)
	// Only the earlier life has confirmed the stop and the speed.
	r.stopConfirmed, r.speedPercent = false, fullPercent
	c.markDirty(r.task.phase.job())
}

// markLostByReport marks a life as exited because the platform or the planner reported that. reason is for the log, and by says
// which list it was. Requests to the life may still be on their way. If lives share an ID, a later one may carry them out, so the
// runs that this concerns are kept.
func (c *Cell) markLostByReport(e *endpoint, reason string, by removal) {
	if e.exited {
		return
	}
	e.exitReported, e.exitStep = true, c.step
	c.markLostKeeping(e, reason+"; "+c.lastAnswer(e), by, func(r *run) bool {
		return e.info.Life.StartedUnixMs != 0 && (r.state != runConfirmed || e.silent && r.listedAfterStep >= e.silentStep)
	})
}

// dropKeptRuns removes the runs that are still kept for a life that has exited.
func (c *Cell) dropKeptRuns(e *endpoint) {
	for _, r := range e.sortedRuns() {
		if r.state != runPending {
			c.removeMissingRun(r, removal{reason: removedKept, source: c.leaseSource(e)})
		}
	}
}
