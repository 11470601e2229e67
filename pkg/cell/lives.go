package cell

import (
	"math"
	"slices"

	"damsonwinch"
)

// indexOfLife returns the place of a life among those known, which are in the order of their names.
func (c *Cell) indexOfLife(life damsonwinch.Life) int {
	at, _ := slices.BinarySearchFunc(c.sortedEndpoints, life, func(e *endpoint, l damsonwinch.Life) int { return e.info.Life.Compare(l) })
	return at
}

// livesWithID returns the lives that are known under an ID.
func (c *Cell) livesWithID(id string) []*endpoint {
	from := c.indexOfLife(damsonwinch.Life{ID: id, StartedUnixMs: math.MinInt})
	to := from
	for to < len(c.sortedEndpoints) && c.sortedEndpoints[to].info.Life.ID == id {
		to++
	}
	return c.sortedEndpoints[from:to]
}

// superseded says that a life has ended and another one under its ID is known.
func (c *Cell) superseded(e *endpoint) bool {
	return e.exited && len(c.livesWithID(e.info.Life.ID)) > 1
}

// lastAnsweredStep returns the step at which the newest look was sent that a life under an ID has
// answered. Which life is there now is told by that, not by when they were born: a box's clock
// may have been set back in between.
func (c *Cell) lastAnsweredStep(id string) int {
	newest := 0
	for _, e := range c.livesWithID(id) {
		newest = max(newest, e.polls.answeredStep)
	}
	return newest
}

// answeringLife returns the life that has answered a look at e, nil if that one is known to have
// ended.
func (c *Cell) answeringLife(e *endpoint, sent *sentPoll, born int) *endpoint {
	life := e.info.Life.WithStarted(born)
	if life.MayBeSame(e.info.Life) {
		return e
	}
	there, known := c.endpoints[life]
	if !known {
		// Its entry is yet to come; until then it gets no work.
		there = c.ensureEndpoint(life)
		there.info = e.info
		there.info.Life = life
		c.updateZone(there)
	}
	if there.exited {
		c.pollFailed(e, sent, errExitedLife)
		return nil
	}
	return there
}

// supersedeOtherLives ends the other lives under the ID of one that has answered a look, which was sent
// at a step.
func (c *Cell) supersedeOtherLives(there *endpoint, look damsonwinch.PollReply, sentAt int) {
	for _, earlier := range c.livesWithID(there.info.Life.ID) {
		if earlier == there {
			continue
		}
		moved := func(r *run) bool { return c.mayHaveMoved(r, look, sentAt) }
		c.markLostKeeping(earlier, "another life answers under its ID", moved)
		for _, r := range earlier.sortedRuns() {
			switch {
			case r.state == runPending:
				// The commit takes it back.
			case moved(r):
				c.moveRunTo(r, there)
			default:
				c.removeMissingRun(r)
			}
		}
	}
}

// mayHaveMoved says whether the order for a run at an earlier life may be carried out by the one
// that has answered a look: it has been, or the order may still be on its way.
func (c *Cell) mayHaveMoved(r *run, look damsonwinch.PollReply, sentAt int) bool {
	switch r.state {
	case runPending:
		return false
	case runRequested, runUncertain:
		return true
	case runConfirmed:
		if r.listedAfterStep > sentAt {
			return true
		}
	}
	return slices.ContainsFunc(look.Running, func(row damsonwinch.RunProgress) bool { return row.Run == r.id() }) ||
		slices.ContainsFunc(look.Finished, func(end damsonwinch.RunResult) bool { return end.Run == r.id() })
}

// moveRunTo has a run be at a later life under the ID of its own, as one of which it must be found
// out whether it is there.
func (c *Cell) moveRunTo(r *run, there *endpoint) {
	c.logRun("run may be at a later life", r, "born "+there.info.Life.String())
	c.removeFromEndpoint(r)
	r.endpoint = there
	c.addToEndpoint(r)
	// What the earlier life has been told doesn't bind this one.
	r.stopConfirmed = false
	c.markDirty(r.task.phase.job())
}

// markLostByReport takes note that a life has ended, by somebody else's word. Orders to it may still
// be on the way: where lives share an ID, a later one may carry them out.
func (c *Cell) markLostByReport(e *endpoint, why string) {
	c.markLostKeeping(e, why, func(r *run) bool {
		return e.info.Life.StartedUnixMs != 0 && (r.state != runConfirmed || e.silent && r.listedAfterStep >= e.silentStep)
	})
}

// dropKeptRuns gives up the runs that are still kept for a life that has ended.
func (c *Cell) dropKeptRuns(e *endpoint) {
	for _, r := range e.sortedRuns() {
		if r.state != runPending {
			c.removeMissingRun(r)
		}
	}
}
