package cell

import "time"

// estimateJob computes what a job is expected to take: the time of a task of each phase, the
// critical path from each phase's start to the end of the job, and the total work.
func (c *Cell) estimateJob(j *job) {
	stats := c.workload.Of(j.queue)
	phases := j.spec.Phases
	j.taskMs, j.criticalPathMs, j.work = make([]int, len(phases)), make([]int, len(phases)), 0
	for number := len(phases) - 1; number >= 0; number-- {
		phase := &phases[number]
		j.taskMs[number] = stats.EstimateMs(phase.EstimateMs)
		j.criticalPathMs[number] += j.taskMs[number]
		for _, earlier := range phase.After {
			j.criticalPathMs[earlier] = max(j.criticalPathMs[earlier], j.criticalPathMs[number])
		}
		if !phase.Lasting && !phase.Fills {
			j.work += phase.Count * phase.Cpu * j.taskMs[number]
		}
	}
}

// setDeadline computes the deadline of a job from the expected critical path, the queue's deadline
// factor and its target latency.
func (c *Cell) setDeadline(j *job) {
	c.estimateJob(j)
	queue := c.queues[j.queue]
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
