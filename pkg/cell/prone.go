package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// proneEnds is the number of endpoints that must have ended within proneTime just after
	// something of a queue had begun there, so that its tasks are taken to crash endpoints.
	proneEnds = 2
	proneTime = 10 * time.Second
	// proneWait is how long a suspect of such a queue waits for a trial: most of them are the
	// tasks of few jobs that crash endpoints.
	proneWait = 8 * time.Second
	// proneShare is the most of a cell's endpoints, in percent, that may be on trial or have ended
	// in one of late while a queue's tasks crash endpoints: most suspects do then, and their
	// trials can wait.
	proneShare = 10
	// lastingStake weighs a lasting task beside what a queue's tasks may end, in thousandths of
	// a core times milliseconds: it takes seconds to be at work again elsewhere.
	lastingStake = 60_000_000
)

// noteProne counts the end of an endpoint against the queues of what had begun there just before.
// Where one task is to blame its first end has been counted: one such task is no crowd.
func (c *Cell) noteProne(e *endpoint, blamed *run) {
	endedAt := e.endedAt(c.now)
	if blamed != nil || c.endShared(e, endedAt) {
		return
	}
	counted := map[string]bool{}
	for _, r := range e.ordered {
		queue := r.task.phase.job().queue
		young := r.state != runIntended && endedAt.Sub(r.since) < c.options.CrashRules.MeasuredSuspectAge()
		if young && !counted[queue] {
			counted[queue] = true
			if c.queueExits[queue] == nil {
				c.queueExits[queue] = &ends{}
			}
			c.queueExits[queue].add(c.now)
		}
	}
}

// seeProne finds the queues whose tasks crash endpoints of late.
func (c *Cell) seeProne() {
	for _, queue := range slices.Sorted(maps.Keys(c.queueExits)) {
		count := c.queueExits[queue].within(c.now, proneTime)
		switch {
		case count >= proneEnds && !c.crashProne[queue]:
			c.crashProne[queue] = true
			c.logQueue("queue's tasks seem to crash endpoints", queue, fmt.Sprintf("%d have ended in the last %v just after something of it had begun", count, proneTime))
		case count < proneEnds && c.crashProne[queue]:
			delete(c.crashProne, queue)
			c.logQueue("queue's tasks crash no endpoints any more", queue, "")
		}
		if count == 0 {
			delete(c.queueExits, queue)
		}
	}
}

// apart says whether nothing of another job has begun at an endpoint just before, if a task or
// that is of a queue whose tasks crash endpoints. What ends an endpoint is known then to be of
// one job, and no sound one waits for trials.
func (c *Cell) apart(t *task, e *endpoint) bool {
	if len(c.crashProne) == 0 {
		return true
	}
	j := t.phase.job()
	for _, r := range e.ordered {
		if other := r.task.phase.job(); other != j && (c.crashProne[j.queue] || c.crashProne[other.queue]) && c.now.Sub(r.since) < c.options.CrashRules.SuspectAge {
			return false
		}
	}
	return true
}

// chooseLeast returns the endpoint for a task that may crash it where the least is lost by that,
// or nil.
func (c *Cell) chooseLeast(t *task, label string) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.hasLabel(label) && c.allowed(t, e) {
			choice.offer(e, c.leaning(t, e)-c.stake(e, t.phase.job())/milliCore)
		}
	}
	return choice.best
}

// stake returns the work that is lost with an endpoint, beside a job's own, in thousandths of a
// core times milliseconds.
func (c *Cell) stake(e *endpoint, but *job) int {
	sum := 0
	for _, r := range e.ordered {
		switch {
		case r.task.phase.job() == but:
		case r.task.phase.spec.Lasting:
			sum += lastingStake
		default:
			sum += r.task.phase.need().MilliCPU * int(c.now.Sub(r.since).Milliseconds())
		}
	}
	return sum
}
