package cell

// maxConcurrentAttempts is the number of attempts at one task that may run at the same time if its
// phase allows speculative attempts. It is only one more than usual, since each attempt costs as
// much as the first one.
const maxConcurrentAttempts = 2

// startSpeculativeAttempts makes the tasks on an endpoint ready for another attempt elsewhere if
// their phases allow that. A result from the endpoint still counts. A task under which an endpoint
// has been lost gets one attempt at a time, so that each loss is counted before the next start.
func (c *Cell) startSpeculativeAttempts(e *endpoint) {
	for _, r := range e.sortedRuns() {
		if r.task.phase.spec.Copies && !r.stopping && len(r.task.runs) < maxConcurrentAttempts && r.task.crashes.Losses == 0 {
			r.task.avoid = e.info.Life
			c.makeReady(r.task)
		}
	}
}

// runsOn reports whether a task has an attempt on an endpoint.
func (t *task) runsOn(e *endpoint) bool {
	for _, r := range t.runs {
		if r.endpoint == e {
			return true
		}
	}
	return false
}
