package cell

import (
	"time"

	"damsonwinch"
	jobs "damsonwinch/pkg/job"
)

// estimateJob computes what a job is expected to take.
func (c *Cell) estimateJob(j *job) {
	estimate := jobs.EstimateOf(j.spec.Phases, c.workload.Of(j.queue).EstimateMs)
	j.taskMs, j.criticalPathMs, j.work = estimate.TaskMs, estimate.CriticalPathMs, estimate.Work
}

// setDeadline computes the deadline of a job from the expected critical path, the queue's deadline
// factor and its target latency.
func (c *Cell) setDeadline(j *job, queue damsonwinch.Queue) {
	c.estimateJob(j)
	criticalPathMs := 0
	for _, pathMs := range j.criticalPathMs {
		criticalPathMs = max(criticalPathMs, pathMs)
	}
	j.deadlineMs = j.acceptedMs + int(queue.DeadlineFactor*float64(criticalPathMs)) + int(queue.TargetLatency.Milliseconds())
}

// isLate reports whether the phase's job is unlikely to meet its deadline. Late jobs go behind the
// others: if they ran first, the others would become late, too.
func (p *phase) isLate(nowMs int) bool {
	return p.lateAtMs > 0 && nowMs > p.lateAtMs
}

// setLateTime computes lateAtMs. Long-running phases and jobs without a deadline are never late.
func (p *phase) setLateTime() {
	j := p.job()
	if p.spec.Lasting || j.deadlineMs == 0 {
		return
	}
	deadlineMs := j.deadlineMs
	if j.spec.Rounds > 0 {
		deadlineMs += p.round.number * j.spec.EveryMs
	}
	p.lateAtMs = deadlineMs - int(jobOverhead.Milliseconds()) - j.criticalPathMs[p.number]*minPathPercent/100
}

const (
	// jobOverhead is the time that a job needs beside its tasks' own time: for records, requests to
	// endpoints and the client's next query.
	jobOverhead = 50 * time.Millisecond
	// minPathPercent is the part of the estimated critical path, in percent, that a job is assumed
	// to need at least. A job does not count as late while it may still meet its deadline.
	minPathPercent = 60
)
