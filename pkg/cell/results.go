package cell

import (
	"fmt"
	"slices"

	"damsonwinch"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// applyResult applies the result of a run that an endpoint has listed.
func (c *Cell) applyResult(e *endpoint, result damsonwinch.RunResult) {
	t := c.findTask(result.Task)
	if t == nil {
		return
	}
	t.phase.job().begun = true
	r := e.runs[result.Run]
	if r == nil {
		c.applyLateResult(e, t, result)
		return
	}
	t.saveCheckpoint(result.Checkpoint)
	c.removeRun(r)
	c.updateHealth(r, result.Ending)
	switch {
	case result.Ending == damsonwinch.EndedDone && !t.phase.spec.Lasting:
		if !r.inherited && !r.resumed && !r.wasSlowed() {
			c.workload.Of(t.phase.job().queue).AddTaskTime(c.now.Sub(r.startedAt), t.phase.spec.EstimateMs)
			c.workloadDirty = true
		}
		c.completeTask(t)
	case result.Ending == damsonwinch.EndedFailed && !t.phase.spec.Lasting:
		c.logRun("run failed", r, "")
		c.attemptFailed(t, r)
	case len(t.runs) == 0:
		c.makeReady(t)
	}
}

// applyLateResult applies the result of a run that is no longer on its endpoint: either the result was
// applied after an earlier poll or by an earlier owner, or the run's lease was taken to have expired.
func (c *Cell) applyLateResult(e *endpoint, t *task, result damsonwinch.RunResult) {
	wasLapsed := c.resolveLapsed(e, result)
	c.observeLateResult(e, t, result, wasLapsed)
	if t.phase.spec.Lasting {
		return
	}
	switch {
	case result.Ending == damsonwinch.EndedFailed && wasLapsed:
		c.countFailure(t)
	case result.Ending == damsonwinch.EndedDone && !t.done:
		c.completeTask(t)
	}
}

// observeLateResult counts and logs a late result. A done task whose result arrives with the first reply of an endpoint may be
// done by that result: an earlier owner has applied it and not acknowledged it.
func (c *Cell) observeLateResult(e *endpoint, t *task, result damsonwinch.RunResult, wasLapsed bool) {
	mayBeApplied := t.done && !wasLapsed && !e.attached
	isDone := result.Ending == damsonwinch.EndedDone
	if isDone && !mayBeApplied {
		c.stats.LateDone++
		if t.done {
			c.stats.LateDoneAgain++
		}
	}
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "late result", Job: t.phase.job().id, Task: t.id().String(), Endpoint: e.info.Life.String(), Debug: !isDone || mayBeApplied,
		Reason: fmt.Sprintf("attempt %d of %d ended as %.20s, number %d; lease taken for expired %t, task done before %t, other attempts %d, may have been applied by an earlier owner %t; %s",
			result.Attempt, t.lastAttempt, result.Ending, result.Sequence, wasLapsed, t.done, len(t.runs), mayBeApplied, c.recentRemovals.describe(c.now, result.Run)),
	})
}

// attemptFailed counts a failed attempt and makes its task ready for the next one.
func (c *Cell) attemptFailed(t *task, r *run) {
	t.avoid = r.endpoint.info.Life
	c.countFailure(t)
	if len(t.runs) == 0 {
		c.makeReady(t)
	}
}

// countFailure counts a failed attempt at a task, and fails the job if the task has no attempt
// left.
func (c *Cell) countFailure(t *task) {
	t.failedAttempts++
	j := t.phase.job()
	c.markDirty(j)
	if !t.done && !j.ended() && failureCount(t) >= j.maxAttempts() {
		c.stats.JobsFailed++
		c.endJob(j, wire.JobStateFailed, "task "+t.id().String()+" has failed too often")
	}
}

// failureCount returns the number of failed attempts that count against a job: those of the task,
// or those of all members if it belongs to a gang.
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

// completeTask marks a task as done. All members of a gang are done as soon as one of them is.
func (c *Cell) completeTask(t *task) {
	if !t.phase.spec.Gang {
		c.markDone(t)
		return
	}
	for _, member := range t.phase.tasks {
		c.markDone(member)
	}
}

// markDone marks a single task as done and stops its other attempts. If it was the last one of its
// phase, it completes the phase.
func (c *Cell) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	p := t.phase
	p.removeReady(t)
	if !p.spec.Gang {
		for _, other := range slices.Clone(t.runs) {
			c.stop(other, "another attempt is done")
		}
	}
	p.unfinishedTasks--
	c.markDirty(p.job())
	if p.unfinishedTasks == 0 {
		c.completePhase(p)
	}
}

// completePhase opens the phases that depended on a phase and whose dependencies are now all done.
// If it was the last phase of the last round, it completes the job.
func (c *Cell) completePhase(p *phase) {
	c.closePhase(p)
	r := p.round
	r.unfinishedPhases--
	for _, later := range r.phases {
		for _, dependency := range later.spec.After {
			if dependency == p.number {
				later.unfinishedDeps--
			}
		}
		if later.unfinishedDeps == 0 && later.unfinishedTasks > 0 && !later.open {
			c.openPhase(later)
		}
	}
	j := r.job
	if r.unfinishedPhases > 0 || j.ended() || len(j.rounds) < jobs.Rounds(j.spec) {
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
