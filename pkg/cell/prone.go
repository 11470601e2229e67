package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// crashProneExits is the number of endpoints that must have exited within crashProneWindow,
	// just after tasks of a queue had started there, for the queue to count as crash-prone.
	crashProneExits  = 2
	crashProneWindow = 10 * time.Second
	// crashProneProbationWait is how long a suspect of a crash-prone queue waits for probation.
	// Most suspects are the tasks of few jobs that crash endpoints.
	crashProneProbationWait = 8 * time.Second
	// maxCrashProneProbationPercent is the highest percentage of a cell's endpoints on which tasks
	// may be on probation, or that may have exited in one recently, while a queue is crash-prone.
	// Most suspects crash their endpoints then, and their probations can wait.
	maxCrashProneProbationPercent = 10
	// longRunningWork is the work that the loss of a long-running task counts for, in thousandths
	// of a core times milliseconds. It takes seconds until the task is at work again elsewhere.
	longRunningWork = 60_000_000
)

// countQueueExits counts the exit of an endpoint against the queues whose tasks had started there
// just before. If one task is to blame the exit isn't counted: the first exit under that task has
// been, and a single bad task doesn't make its queue crash-prone.
func (c *Cell) countQueueExits(e *endpoint, blamed *run) {
	exitedAt := e.exitedAt(c.now)
	if blamed != nil || c.hasCommonCause(e, exitedAt) {
		return
	}
	counted := map[string]bool{}
	for _, r := range e.runsByStart {
		queue := r.task.phase.job().queue
		young := r.state != runPending && exitedAt.Sub(r.startedAt) < c.options.CrashRules.MeasuredSuspectAge()
		if young && !counted[queue] {
			counted[queue] = true
			if c.queueExits[queue] == nil {
				c.queueExits[queue] = &exits{}
			}
			c.queueExits[queue].add(c.now)
		}
	}
}

// updateCrashProne updates which queues are crash-prone.
func (c *Cell) updateCrashProne() {
	for _, queue := range slices.Sorted(maps.Keys(c.queueExits)) {
		count := c.queueExits[queue].countWithin(c.now, crashProneWindow)
		switch {
		case count >= crashProneExits && !c.crashProne[queue]:
			c.crashProne[queue] = true
			c.logQueue("queue's tasks seem to crash endpoints", queue, fmt.Sprintf("%d have exited in the last %v just after one of its tasks had started", count, crashProneWindow))
		case count < crashProneExits && c.crashProne[queue]:
			delete(c.crashProne, queue)
			c.logQueue("queue's tasks crash no endpoints any more", queue, "")
		}
		if count == 0 {
			delete(c.queueExits, queue)
		}
	}
}

// separatedFromOtherJobs reports whether a task and the runs that have just started on an endpoint
// belong to the same job, as far as they are of crash-prone queues. So it is known which job a
// crash of the endpoint is due to, and tasks of sound jobs don't have to wait for probation.
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

// chooseLeastAtRisk returns the endpoint for a task that may crash it where that loses the least
// work, or nil if none can start the task.
func (c *Cell) chooseLeastAtRisk(t *task, label string) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.hasLabel(label) && c.canStart(t, e) {
			choice.offer(e, c.preference(t, e)-c.workAtRisk(e, t.phase.job())/milliCPUPerCore)
		}
	}
	return choice.best
}

// workAtRisk returns the work that is lost if an endpoint exits, not counting the runs of one job,
// in thousandths of a core times milliseconds.
func (c *Cell) workAtRisk(e *endpoint, except *job) int {
	sum := 0
	for _, r := range e.runsByStart {
		switch {
		case r.task.phase.job() == except:
		case r.task.phase.spec.Lasting:
			sum += longRunningWork
		default:
			sum += r.task.phase.need().MilliCPU * int(c.now.Sub(r.startedAt).Milliseconds())
		}
	}
	return sum
}
