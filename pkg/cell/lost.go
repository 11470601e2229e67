package cell

import (
	"fmt"
	"time"
)

// lose takes note that a life has ended: all that ran there is gone.
func (c *Cell) lose(e *endpoint, why string) {
	if !e.gone {
		c.noteLost(e, why)
	}
	e.gone = true
	c.forgetLapses(e)
	for _, r := range e.sortedRuns() {
		if r.state == runIntended {
			// The commit takes it back.
			r.stopping = true
			continue
		}
		r.task.lost++
		c.stats.RunsLost++
		c.noteRunLost(r)
		c.again(r)
	}
}

// endedAt is when an endpoint that is lost has ended, as far as that can be told: a look
// waits there nearly always, and fails at once.
func (e *endpoint) endedAt(now time.Time) time.Time {
	if e.silent {
		return e.silentAt
	}
	return now
}

// age returns how long a run had been under way when its endpoint ended. The time before a
// takeover isn't known.
func (r *run) age(endedAt time.Time) time.Duration {
	return max(0, endedAt.Sub(r.since))
}

// noteLost tells what a lost endpoint takes with it: a task that crashes it shows by how
// shortly before it was started.
func (c *Cell) noteLost(e *endpoint, why string) {
	if len(e.runs) == 0 {
		c.noteEndpoint("endpoint lost", e, why)
		return
	}
	c.stats.EndpointsLost++
	endedAt := e.endedAt(c.now)
	youngest := e.ordered[len(e.ordered)-1].age(endedAt)
	c.noteEndpoint("endpoint lost", e, fmt.Sprintf("%s; it ended %d ms ago with %d runs, the youngest for %d ms",
		why, c.now.Sub(endedAt).Milliseconds(), len(e.runs), youngest.Milliseconds()))
}

// noteRunLost tells of a run that went with its endpoint. The first time it is one of many.
func (c *Cell) noteRunLost(r *run) {
	c.effects.Notes = append(c.effects.Notes, Note{
		What: "run lost", Job: r.task.phase.job().id, Task: r.order().Task.String(), Endpoint: r.at.info.ID, Minor: r.task.lost == 1,
		Why: fmt.Sprintf("its endpoint ended %d ms after its start; attempt %d, lost %d times", r.age(r.at.endedAt(c.now)).Milliseconds(), r.attempt, r.task.lost),
	})
}
