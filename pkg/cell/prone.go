package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// crashProneExits is the number of endpoints that must have ended within proneTime just after
	// something of a queue had begun there, so that its tasks are taken to crash endpoints.
	crashProneExits  = 2
	crashProneWindow = 10 * time.Second
	// crashProneProbationWait is how long a suspect of such a queue waits for a trial: most of them are the
	// tasks of few jobs that crash endpoints.
	crashProneProbationWait = 8 * time.Second
	// maxCrashProneProbationPercent is the most of a cell's endpoints, in percent, that may be on trial or have ended
	// in one of late while a queue's tasks crash endpoints: most suspects do then, and their
	// trials can wait.
	maxCrashProneProbationPercent = 10
	// longRunningWork weighs a lasting task beside what a queue's tasks may end, in thousandths of
	// a core times milliseconds: it takes seconds to be at work again elsewhere.
	longRunningWork = 60_000_000
)

// countQueueExits counts the end of an endpoint against the queues of what had begun there just before.
// Where one task is to blame its first end has been counted: one such task is no crowd.
func (c *Cell) countQueueExits(e *endpoint, blamed *run) {
	endedAt := e.exitedAt(c.now)
	if blamed != nil || c.hasCommonCause(e, endedAt) {
		return
	}
	counted := map[string]bool{}
	for _, r := range e.runsByStart {
		queue := r.task.phase.job().queue
		young := r.state != runPending && endedAt.Sub(r.startedAt) < c.options.CrashRules.MeasuredSuspectAge()
		if young && !counted[queue] {
			counted[queue] = true
			if c.queueExits[queue] == nil {
				c.queueExits[queue] = &exits{}
			}
			c.queueExits[queue].add(c.now)
		}
	}
}

// updateCrashProne finds the queues whose tasks crash endpoints of late.
func (c *Cell) updateCrashProne() {
	for _, queue := range slices.Sorted(maps.Keys(c.queueExits)) {
		count := c.queueExits[queue].countWithin(c.now, crashProneWindow)
		switch {
		case count >= crashProneExits && !c.crashProne[queue]:
			c.crashProne[queue] = true
			c.logQueue("queue's tasks seem to crash endpoints", queue, fmt.Sprintf("%d have ended in the last %v just after something of it had begun", count, crashProneWindow))
		case count < crashProneExits && c.crashProne[queue]:
			delete(c.crashProne, queue)
			c.logQueue("queue's tasks crash no endpoints any more", queue, "")
		}
		if count == 0 {
			delete(c.queueExits, queue)
		}
	}
}

// separatedFromOtherJobs says whether nothing of another job has begun at an endpoint just before, if a task or
// that is of a queue whose tasks crash endpoints. What ends an endpoint is known then to be of
// one job, and no sound one waits for trials.
func (c *Cell) separatedFromOtherJobs(t *task, e *endpoint) bool {
	if len(c.crashProne) == 0 {
		return true
	}
	j := t.phase.job()
	for _, r := range e.runsByStart {
		if other := r.task.phase.job(); other != j && (c.crashProne[j.queue] || c.crashProne[other.queue]) && c.now.Sub(r.startedAt) < c.options.CrashRules.SuspectAge {
			return false
		}
	}
	return true
}

// chooseLeastAtRisk returns the endpoint for a task that may crash it where the least is lost by that,
// or nil.
func (c *Cell) chooseLeastAtRisk(t *task, label string) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.hasLabel(label) && c.canStart(t, e) {
			choice.offer(e, c.preference(t, e)-c.workAtRisk(e, t.phase.job())/milliCPUPerCore)
		}
	}
	return choice.best
}

// workAtRisk returns the work that is lost with an endpoint, beside a job's own, in thousandths of a
// core times milliseconds.
func (c *Cell) workAtRisk(e *endpoint, but *job) int {
	sum := 0
	for _, r := range e.runsByStart {
		switch {
		case r.task.phase.job() == but:
		case r.task.phase.spec.Lasting:
			sum += longRunningWork
		default:
			sum += r.task.phase.need().MilliCPU * int(c.now.Sub(r.startedAt).Milliseconds())
		}
	}
	return sum
}
