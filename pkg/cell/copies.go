package cell

// maxConcurrentAttempts is the number of attempts at one task that run at once where copies
// are allowed: one more than usual, since each costs as much as the first.
const maxConcurrentAttempts = 2

// startSpeculativeAttempts has the tasks of an endpoint tried elsewhere as well, as far as their
// phases allow copies. What the endpoint does in the end still counts. A task under which
// an endpoint has ended is tried once at a time, so that each end is counted before the next
// start.
func (c *Cell) startSpeculativeAttempts(e *endpoint) {
	for _, r := range e.sortedRuns() {
		if r.task.phase.spec.Copies && !r.stopping && len(r.task.runs) < maxConcurrentAttempts && r.task.crashes.Losses == 0 {
			r.task.avoid = e.info.Life
			c.makeReady(r.task)
		}
	}
}

// runsOn says whether a task has an attempt at an endpoint.
func (t *task) runsOn(e *endpoint) bool {
	for _, r := range t.runs {
		if r.endpoint == e {
			return true
		}
	}
	return false
}
