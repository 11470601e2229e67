package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
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
	c.stats.RunsLapsed++
	r.endpoint.lapsedAttempts = append(r.endpoint.lapsedAttempts, lapsedAttempt{task: r.task, attempt: r.attempt, minAge: r.age(r.endpoint.lastAnsweredAt)})
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

// mustWait reports whether a task must not be started yet: either it backs off after endpoints have
// refused it, or it would have no attempts left if all its lapsed attempts have failed.
func (c *Cell) mustWait(t *task) bool {
	return c.now.Before(t.notBefore) || t.lapsedAttempts > 0 && !t.phase.spec.Lasting && failureCount(t)+t.lapsedAttempts >= c.maxAttempts(t.phase.job())
}

// lapsedColumns is the number of columns of a row of JobRecord.Lapsed: the index of the task's row,
// the number of the attempt and the index of the endpoint.
const lapsedColumns = 3

// writeLapsed adds the lapsed attempts of a job's tasks to its record. rows maps each task to the
// index of its row in record.Tasks.
func (c *Cell) writeLapsed(j *job, rows map[*task]int, record *wire.JobRecord) {
	if len(rows) == 0 {
		return
	}
	for _, e := range c.sortedEndpoints {
		for _, l := range e.lapsedAttempts {
			if row, known := rows[l.task]; known && l.task.phase.job() == j {
				record.Lapsed = append(record.Lapsed, []int{row, l.attempt, endpointIndex(e, record)})
			}
		}
	}
}

// readLapsed restores the lapsed attempts from a job's record.
func (c *Cell) readLapsed(j *job, record wire.JobRecord) error {
	for _, row := range record.Lapsed {
		if len(row) != lapsedColumns || row[0] < 0 || row[0] >= len(record.Tasks) || row[2] < 0 || row[2] >= len(record.Endpoints) {
			return fmt.Errorf("job %s has an invalid row of lapsed attempts %v", j.id, row)
		}
		if t := c.findTask(rowTaskID(j, record.Tasks[row[0]])); t != nil {
			e := c.ensureEndpoint(damsonwinch.ParseLife(record.Endpoints[row[2]]))
			e.lapsedAttempts = append(e.lapsedAttempts, lapsedAttempt{task: t, attempt: row[1]})
			t.lapsedAttempts++
		}
	}
	return nil
}
