package cell

import (
	"time"

	"damsonwinch/pkg/wire"
)

// chains returns, for each phase, the time of the longest chain of tasks from its
// start to the job's end, in milliseconds, as far as that can be told.
func (c *Cell) chains(queue string, spec wire.JobSpec) []int {
	times := &c.statsOf(queue).times
	longest := make([]int, len(spec.Phases))
	for number := len(spec.Phases) - 1; number >= 0; number-- {
		longest[number] += times.estimate(spec.Phases[number].EstimateMs)
		for _, earlier := range spec.Phases[number].After {
			longest[earlier] = max(longest[earlier], longest[number])
		}
	}
	return longest
}

// setDue works out by when a job should be done.
func (c *Cell) setDue(j *job) {
	j.chains = c.chains(j.queue, j.spec)
	queue := c.queues[j.queue]
	chain := 0
	for _, from := range j.chains {
		chain = max(chain, from)
	}
	j.dueMs = j.acceptedMs + int(queue.Extension*float64(chain)) + int(queue.Target.Milliseconds())
}

// late says whether a phase's job can hardly be done in time any more. Late jobs
// go behind the others: running them first would make those late, too.
func (p *phase) late(nowMs int) bool {
	return p.lateMs > 0 && nowMs > p.lateMs
}

// setLate works out when a phase that may start is late.
func (p *phase) setLate() {
	j := p.job()
	if p.spec.Lasting || j.dueMs == 0 {
		return
	}
	due := j.dueMs
	if j.spec.Rounds > 0 {
		due += p.round.number * j.spec.EveryMs
	}
	p.lateMs = due - int(lateMargin.Milliseconds()) - j.chains[p.number]*surePart/100
}

const (
	// lateMargin is what a job needs beside its tasks' own time: records, orders
	// and the client's next look.
	lateMargin = 50 * time.Millisecond
	// surePart of a chain's estimated time, in percent, is counted on; a job that
	// may still be in time is not given up.
	surePart = 60
)
