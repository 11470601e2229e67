package cell

import "time"

// estimateJob works out what a job takes: the time of a task of each phase, that of the
// longest chain of tasks from each phase's start to the job's end, and its work.
func (c *Cell) estimateJob(j *job) {
	times := &c.statsOf(j.queue).times
	phases := j.spec.Phases
	j.taskMs, j.criticalPathMs, j.work = make([]int, len(phases)), make([]int, len(phases)), 0
	for number := len(phases) - 1; number >= 0; number-- {
		phase := &phases[number]
		j.taskMs[number] = times.estimate(phase.EstimateMs)
		j.criticalPathMs[number] += j.taskMs[number]
		for _, earlier := range phase.After {
			j.criticalPathMs[earlier] = max(j.criticalPathMs[earlier], j.criticalPathMs[number])
		}
		if !phase.Lasting && !phase.Fills {
			j.work += phase.Count * phase.Cpu * j.taskMs[number]
		}
	}
}

// setDue works out by when a job should be done.
func (c *Cell) setDue(j *job) {
	c.estimateJob(j)
	queue := c.queues[j.queue]
	chain := 0
	for _, from := range j.criticalPathMs {
		chain = max(chain, from)
	}
	j.dueMs = j.acceptedMs + int(queue.DeadlineFactor*float64(chain)) + int(queue.TargetLatency.Milliseconds())
}

// isLate says whether a phase's job can hardly be done in time any more. Late jobs
// go behind the others: running them first would make those isLate, too.
func (p *phase) isLate(nowMs int) bool {
	return p.lateAtMs > 0 && nowMs > p.lateAtMs
}

// setLateTime works out when a phase that may start is late.
func (p *phase) setLateTime() {
	j := p.job()
	if p.spec.Lasting || j.dueMs == 0 {
		return
	}
	due := j.dueMs
	if j.spec.Rounds > 0 {
		due += p.round.number * j.spec.EveryMs
	}
	p.lateAtMs = due - int(jobOverhead.Milliseconds()) - j.criticalPathMs[p.number]*minPathPercent/100
}

const (
	// jobOverhead is what a job needs beside its tasks' own time: records, orders
	// and the client's next look.
	jobOverhead = 50 * time.Millisecond
	// minPathPercent of a chain's estimated time, in percent, is counted on; a job that
	// may still be in time is not given up.
	minPathPercent = 60
)
