package cell

import (
	"fmt"
	"slices"

	"damsonwinch/pkg/admission"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// admit decides whether a new job is accepted. If not, it replies to the call and nothing of the job is
// kept but its rank. Long-running jobs and those with a start time are always accepted.
func (c *Cell) admit(j *job, callID int) bool {
	if !c.shares.InEffect() || jobs.IsLongRunning(j.spec) || j.spec.Rounds > 0 || j.deadlineMs == 0 {
		return true
	}
	pathMs := slices.Max(j.criticalPathMs)
	// acceptedMs is by the clock of the node that took the call, which may differ from this one's.
	withinMs := j.deadlineMs - j.acceptedMs - int(jobOverhead.Milliseconds())
	request := admission.Job{
		ID: j.id, Customer: j.customer, WithinMs: withinMs,
		PathMs: pathMs, MinPathMs: pathMs * minPathPercent / 100, CPU: j.firstCPU(), OverShare: j.overShare,
	}
	j.shareRank = c.refusals.Rank(j.id, j.shareRank)
	verdict := admission.Decide(request, c.admissionQueue(j))
	if verdict.Accept {
		c.refusals.Remove(j.id)
		return true
	}
	c.refusals.Add(c.now, request, j.shareRank)
	c.stats.JobsNotAdmitted++
	c.logJob("job refused", j, verdict.Reason+c.shareNote(j))
	c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: verdict.Reason, RetryAfterMs: verdict.RetryAfterMs})
	return false
}

// shareNote says how the customer's arrivals compare with its share, for the log line of a refusal.
func (c *Cell) shareNote(j *job) string {
	state, known := c.shares.State(c.now, j.customer)
	if !known {
		return ""
	}
	return fmt.Sprintf("; customer %s is %s", j.customer, state)
}

// firstCPU returns the CPU that the tasks of the phases without dependencies need together.
func (j *job) firstCPU() int {
	sum := 0
	for at := range j.spec.Phases {
		if spec := &j.spec.Phases[at]; len(spec.After) == 0 && !spec.Fills {
			sum += spec.Count * spec.Cpu
		}
	}
	return sum
}

// admissionQueue returns what is in front of a new job. It is empty if nothing waits, and while no task
// has ended: then it is not known how soon capacity becomes free.
func (c *Cell) admissionQueue(j *job) admission.Queue {
	if len(c.openPhases) == 0 || c.workload.MeanTaskMs() == 0 {
		return admission.Queue{}
	}
	capacity := c.capacity()
	queue := admission.Queue{FreeCPU: capacity.FreeCPU, FreedCPUPerMs: capacity.FreedCPUPerMs, BoxLeadMs: int(c.options.BoxLeadTime.Milliseconds())}
	queue.Refused = c.refusals.Count(c.now, j.customer)
	if state, known := c.shares.State(c.now, j.customer); known {
		queue.Entitled = state.Entitled
	}
	for _, e := range c.sortedEndpoints {
		if e.listed && !e.attached && !e.exited {
			// A new owner has not heard from it yet, or its box has just come: it counts as empty.
			queue.FreeCPU += e.info.Capacity.MilliCPU
		}
	}
	nowMs := int(c.now.UnixMilli())
	for _, p := range c.openPhases {
		if !p.spec.Lasting && len(p.ready) > 0 && !c.waitsForAllowance(p) && goesBefore(p, j, nowMs) {
			queue.AheadCPU += len(p.ready) * p.need().MilliCPU
		}
	}
	return queue
}

// goesBefore reports whether a waiting phase is placed before those of a new job. For a job within its
// customer's share only phases count that certainly are: deferred and late ones go behind it.
func goesBefore(p *phase, j *job, nowMs int) bool {
	other := p.job()
	if j.overShare {
		return !other.overShare || !p.isLate(nowMs) && other.shareRank <= j.shareRank
	}
	return !other.overShare && !p.deferred && !p.isLate(nowMs) &&
		(other.priority < j.priority || other.priority == j.priority && other.deadlineMs <= j.deadlineMs)
}
