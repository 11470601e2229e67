package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/wire"
)

// lapsedAttempt is an attempt whose endpoint is out of reach and whose lease has certainly expired.
// Its result isn't known: it may have failed before the lease expired. Then the endpoint reports
// that once it can be reached again.
type lapsedAttempt struct {
	task    *task
	attempt int
	// minAge is the least time for which the attempt had been running.
	minAge time.Duration
}

// markLapsed removes a run whose lease has certainly expired, and notes that it may have failed.
func (c *Cell) markLapsed(r *run) {
	c.logRemoval(r, removal{reason: removedLapsed, source: c.leaseSource(r.endpoint)})
	r.endpoint.lapsedAttempts = append(r.endpoint.lapsedAttempts, lapsedAttempt{task: r.task, attempt: r.attempt, minAge: r.leastAge(r.endpoint.lastAnsweredAt)})
	r.task.lapsedAttempts++
	c.requeue(r)
}

// resolveLapsed removes the lapsed attempt that a result from an endpoint belongs to. It reports
// whether there was one.
func (c *Cell) resolveLapsed(e *endpoint, result damsonwinch.RunResult) bool {
	i := slices.IndexFunc(e.lapsedAttempts, func(l lapsedAttempt) bool { return l.attempt == result.Attempt && l.task.id() == result.Task })
	if i < 0 {
		return false
	}
	c.uncountLapsed(e.lapsedAttempts[i])
	e.lapsedAttempts = slices.Delete(e.lapsedAttempts, i, i+1)
	return true
}

// forgetLapsed drops the lapsed attempts of an endpoint whose results will not be reported: the
// endpoint has listed all its results without them, or it has exited or been given up.
func (c *Cell) forgetLapsed(e *endpoint) {
	for _, l := range e.lapsedAttempts {
		c.uncountLapsed(l)
	}
	e.lapsedAttempts = nil
}

// uncountLapsed no longer counts a lapsed attempt for its task, because its result has become known
// or doesn't matter any more.
func (c *Cell) uncountLapsed(l lapsedAttempt) {
	l.task.lapsedAttempts--
	c.placementDue = true
	c.markDirty(l.task.phase.job())
}

// mustWait reports whether a task must not be started yet: its job's record has no room for it, it backs off after
// endpoints have refused it, or it would have no attempts left if all its lapsed attempts have failed.
func (c *Cell) mustWait(t *task) bool {
	return c.awaitsRecord(t) || c.now.Before(t.notBefore) || t.lapsedAttempts > 0 && !t.phase.spec.Lasting && failureCount(t)+t.lapsedAttempts >= t.phase.job().maxAttempts()
}

// writeLapsed adds the lapsed attempts of a job's tasks to its record. rows maps each task to the
// index of its row in record.Tasks.
func (c *Cell) writeLapsed(j *job, rows map[*task]int, record *wire.JobRecord) {
	if len(rows) == 0 {
		return
	}
	for _, e := range c.sortedEndpoints {
		for _, l := range e.lapsedAttempts {
			if row, known := rows[l.task]; known && l.task.phase.job() == j {
				cellrecord.AddLapsed(record, cellrecord.LapsedAttempt{Row: row, Attempt: cellrecord.Attempt{Number: l.attempt, Life: e.info.Life}})
			}
		}
	}
}

// restoreLapsed restores a lapsed attempt at a task.
func (c *Cell) restoreLapsed(t *task, attempt cellrecord.Attempt) {
	e := c.ensureEndpoint(attempt.Life)
	e.lapsedAttempts = append(e.lapsedAttempts, lapsedAttempt{task: t, attempt: attempt.Number})
	t.lapsedAttempts++
}
