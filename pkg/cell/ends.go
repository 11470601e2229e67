package cell

import (
	"slices"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// applyResult takes note of a run's end.
func (c *Cell) applyResult(e *endpoint, end damsonwinch.RunResult) {
	t := c.findTask(end.Task)
	if t == nil {
		return
	}
	t.phase.job().begun = true
	r := e.runs[end.Run]
	if r == nil {
		// An earlier look, or an earlier owner, has taken note of it, or its lease
		// was taken to have run out.
		if c.resolveLapsed(e, end) && end.Ending == damsonwinch.EndedFailed && !t.phase.spec.Lasting {
			c.countFailure(t)
		}
		if end.Ending == damsonwinch.EndedDone && !t.done && !t.phase.spec.Lasting {
			c.completeTask(t)
		}
		return
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	c.removeRun(r)
	c.recordResult(r, end.Ending)
	switch {
	case end.Ending == damsonwinch.EndedDone && !t.phase.spec.Lasting:
		if !r.inherited && !r.resumed {
			c.statsOf(t.phase.job().queue).times.addRun(c.now.Sub(r.startedAt), t.phase.spec.EstimateMs)
			c.queueStatsDirty = true
		}
		c.completeTask(t)
	case end.Ending == damsonwinch.EndedFailed && !t.phase.spec.Lasting:
		c.logRun("run failed", r, "")
		c.attemptFailed(t, r)
	case len(t.runs) == 0:
		c.makeReady(t)
	}
}

// attemptFailed takes note of a failed attempt.
func (c *Cell) attemptFailed(t *task, r *run) {
	t.avoid = r.endpoint.info.Life
	c.countFailure(t)
	if len(t.runs) == 0 {
		c.makeReady(t)
	}
}

// countFailure counts a failed attempt, and ends the job with the last one.
func (c *Cell) countFailure(t *task) {
	t.failedAttempts++
	j := t.phase.job()
	c.markDirty(j)
	if !t.done && !j.ended() && failureCount(t) >= c.maxAttempts(j) {
		c.stats.JobsFailed++
		c.endJob(j, wire.JobStateFailed, "task "+t.id().String()+" has failed too often")
	}
}

// failureCount counts what fails a job: a task's failed attempts, or those of a whole
// gang.
func failureCount(t *task) int {
	if !t.phase.spec.Gang {
		return t.failedAttempts
	}
	sum := 0
	for _, member := range t.phase.tasks {
		sum += member.failedAttempts
	}
	return sum
}

// completeTask notes that a task is done, and what follows from that. A gang's members
// are done together: one end stands for all.
func (c *Cell) completeTask(t *task) {
	if !t.phase.spec.Gang {
		c.markDone(t)
		return
	}
	for _, member := range t.phase.tasks {
		c.markDone(member)
	}
}

func (c *Cell) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	p := t.phase
	p.removeReady(t)
	if !p.spec.Gang {
		for _, copied := range slices.Clone(t.runs) {
			c.stop(copied, "another attempt is done")
		}
	}
	p.unfinishedTasks--
	c.markDirty(p.job())
	if p.unfinishedTasks == 0 {
		c.completePhase(p)
	}
}

// completePhase opens the phases that waited for this one, and ends the job with
// its last phase.
func (c *Cell) completePhase(p *phase) {
	c.closePhase(p)
	r := p.round
	r.unfinishedPhases--
	for _, later := range r.phases {
		for _, waited := range later.spec.After {
			if waited == p.number {
				later.unfinishedDeps--
			}
		}
		if later.unfinishedDeps == 0 && later.unfinishedTasks > 0 && !later.open {
			c.openPhase(later)
		}
	}
	j := r.job
	if r.unfinishedPhases > 0 || j.ended() || len(j.rounds) < j.totalRounds() {
		return
	}
	for _, other := range j.rounds {
		if other.unfinishedPhases > 0 {
			return
		}
	}
	c.stats.JobsCompleted++
	c.endJob(j, wire.JobStateCompleted, "all tasks are done")
}
