package cell

import (
	"fmt"
	"slices"
)

// runStateNames describes the run states in explanations. A start that is ordered has been
// requested.
var runStateNames = map[runState]string{
	runPending:    "about to be ordered",
	runRequested:  "ordered, not answered yet",
	runConfirmed:  "running",
	runUncertain:  "ordered, the answer was lost",
	runUnverified: "recorded by an earlier owner, not looked at yet",
}

// Explain describes in sentences the state of a job and what its tasks wait for.
func (c *Cell) Explain(id string) []string {
	j := c.jobs[id]
	if j == nil {
		return []string{fmt.Sprintf("job %s is not known here", id)}
	}
	if j.unsubmitted {
		return []string{fmt.Sprintf("job %s was cancelled before a submission of it arrived", id)}
	}
	lines := []string{fmt.Sprintf("job %s of queue %s is %s (recorded as %s); priority %d, accepted at %d ms, should be done by %d ms",
		id, j.queue, j.state, j.recordedState, j.priority, j.acceptedMs, j.deadlineMs)}
	lines = append(lines, c.explainShare(j)...)
	settled := 0
	for _, r := range j.rounds {
		if r.settled {
			settled++
		}
		for _, p := range r.phases {
			lines = append(lines, c.explainPhase(p)...)
		}
	}
	if settled > 0 {
		lines = append(lines, fmt.Sprintf("all tasks of %d other rounds are done", settled))
	}
	return lines
}

// explainPhase describes a phase and those of its tasks that are not done.
func (c *Cell) explainPhase(p *phase) []string {
	name := fmt.Sprintf("round %d phase %d", p.round.number, p.number)
	if p.unfinishedTasks == 0 {
		return []string{fmt.Sprintf("%s: all %d tasks are done", name, len(p.tasks))}
	}
	if p.unfinishedDeps > 0 {
		return []string{fmt.Sprintf("%s: waits for %d earlier phases", name, p.unfinishedDeps)}
	}
	lines := []string{fmt.Sprintf("%s: %d of %d tasks are left, %d wait to be started", name, p.unfinishedTasks, len(p.tasks), len(p.ready))}
	for _, t := range p.tasks {
		if !t.done {
			lines = append(lines, c.explainTask(t))
		}
	}
	return lines
}

// explainTask describes a task, its runs and what it waits for.
func (c *Cell) explainTask(t *task) string {
	line := fmt.Sprintf("task %s: %d attempts, %d failed", t.id(), t.lastAttempt, t.failedAttempts)
	if t.crashes.Losses > 0 {
		line += fmt.Sprintf("; %d endpoints ended under it, the last %d between %d and %d ms after its start",
			t.crashes.Losses, t.crashes.SimilarLosses, t.crashes.MinAge.Milliseconds(), t.crashes.MaxAge.Milliseconds())
	}
	for _, r := range t.runs {
		line += fmt.Sprintf("; attempt %d on %s is %s", r.attempt, r.endpoint.info.Life, runStateNames[r.state])
		if r.stopping {
			line += " and to be stopped"
		} else if slices.Contains(c.permitCalls.heldStarts, r) {
			line += ", once there is another permit: the former one has expired"
		} else if r.endpoint.zone.evacuated {
			line += ", in an evacuated zone: " + c.explainStay(r)
		}
	}
	if t.ready && len(t.runs) == 0 {
		line += "; waits: " + c.explainWait(t)
	}
	return line
}

// explainWait says why a ready task has not been started yet.
func (c *Cell) explainWait(t *task) string {
	if !c.evacuationsKnown() {
		return "the operator's evacuations of zones are not known at present"
	}
	if c.now.Before(t.notBefore) {
		return fmt.Sprintf("endpoints have refused it %d times in a row; it is tried again in %d ms", t.refusals, t.notBefore.Sub(c.now).Milliseconds())
	}
	if c.awaitsRecord(t) {
		return fmt.Sprintf("the record of its job has no room for more than the %d started tasks that are not done", t.phase.job().recordedRows+t.phase.job().plannedRows)
	}
	if c.mustWait(t) {
		return fmt.Sprintf("%d attempts at endpoints out of reach may have failed", t.lapsedAttempts)
	}
	if c.awaitsProbation(t) {
		return c.explainProbationWait(t)
	}
	if !c.quota.Allows(t.phase.job().customer, t.phase.quotaNeed()) || c.quotaWaits.HasWaited(t.phase.job().customer) {
		return c.explainQuota(t)
	}
	return describeObstacles(t, c.obstacles(t), c.now)
}

// explainProbationWait says for how long a suspect is only started on probation.
func (c *Cell) explainProbationWait(t *task) string {
	until := "until it has run for long enough"
	if !c.options.CrashRules.CountsStarts(t.crashes) {
		until = fmt.Sprintf("for %d ms", t.probationWaitSince.Add(c.maxProbationWait(t)).Sub(c.now).Milliseconds())
	}
	return fmt.Sprintf("%s it is only started where nothing else begins; %d endpoints are in use for that, and %d have ended so of late",
		until, len(c.probationEndpoints), c.probationLimit.RecentExits(c.now))
}
