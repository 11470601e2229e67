package cell

import (
	"fmt"

	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/freecores"
)

// longRunningWork is the work that the loss of a long-running task counts for, in thousandths of a
// core times milliseconds. It takes seconds until the task is available again elsewhere.
const longRunningWork = 60_000_000

// countQueueExits counts the exit of an endpoint against the queues whose tasks had started there
// just before. If one run is to blame, the exit isn't counted: the first exit under its task has
// been, and a single task that crashes endpoints doesn't make its queue crash-prone.
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
			c.crashQueues.AddExit(queue, c.now)
		}
	}
}

// updateCrashProne recomputes which queues are crash-prone, and logs changes.
func (c *Cell) updateCrashProne() {
	for _, change := range c.crashQueues.Update(c.now) {
		if change.Prone {
			c.logQueue("queue's tasks seem to crash endpoints", change.Queue, fmt.Sprintf("%d have exited in the last %v just after one of its tasks had started", change.Exits, crash.ProneWindow))
		} else {
			c.logQueue("queue's tasks crash no endpoints any more", change.Queue, "")
		}
	}
}

// separatedFromOtherJobs reports whether a task may start on an endpoint without mixing jobs: no
// run of another job may have started there just before, if the task or that run is of a
// crash-prone queue. So it is known which job has crashed an endpoint, and tasks of sound jobs
// don't have to wait for probation.
func (c *Cell) separatedFromOtherJobs(t *task, e *endpoint) bool {
	if !c.crashQueues.AnyProne() {
		return true
	}
	j := t.phase.job()
	for _, r := range e.runsByStart {
		if other := r.task.phase.job(); other != j && (c.crashQueues.IsProne(j.queue) || c.crashQueues.IsProne(other.queue)) && c.now.Sub(r.startedAt) < c.options.CrashRules.SuspectAge {
			return false
		}
	}
	return true
}

// chooseLeastAtRisk returns the endpoint for a task that may crash it, or nil if none can start the
// task. Of several it takes the one whose crash would lose the least work.
func (c *Cell) chooseLeastAtRisk(t *task, label string) *endpoint {
	var choice choice
	for _, e := range c.sortedEndpoints {
		if e.hasLabel(label) && c.canStart(t, e) {
			choice.offer(e, c.preference(t, e)-c.workAtRisk(e, t.phase.job())/freecores.MilliCPUPerCore)
		}
	}
	return choice.best
}

// workAtRisk returns the work that would be lost if the endpoint exited, in thousandths of a core
// times milliseconds. The runs of the job except are not counted.
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
