package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// lapsedAttempt is an attempt on an endpoint out of reach whose lease must have run out. How it
// ended is not known: it may have failed before that, and the endpoint tells so once it can
// be reached again.
type lapsedAttempt struct {
	task    *task
	attempt int
	// minAge is for how long at least it had been under way.
	minAge time.Duration
}

// markLapsed takes back a run whose lease must have run out, and keeps in mind that it may have
// failed.
func (c *Cell) markLapsed(r *run) {
	c.stats.RunsLapsed++
	r.endpoint.lapsedAttempts = append(r.endpoint.lapsedAttempts, lapsedAttempt{task: r.task, attempt: r.attempt, minAge: r.age(r.endpoint.lastAnsweredAt)})
	r.task.lapsedAttempts++
	c.requeue(r)
}

// resolveLapsed takes note of the end of an attempt that was taken to have lapsed, and says
// whether it was one.
func (c *Cell) resolveLapsed(e *endpoint, end damsonwinch.RunResult) bool {
	at := slices.IndexFunc(e.lapsedAttempts, func(l lapsedAttempt) bool { return l.attempt == end.Attempt && l.task.id() == end.Task })
	if at < 0 {
		return false
	}
	c.removeLapsed(e.lapsedAttempts[at])
	e.lapsedAttempts = slices.Delete(e.lapsedAttempts, at, at+1)
	return true
}

// forgetLapsed drops the attempts whose ends an endpoint has not listed, or never will: they
// are known not to have failed, or not to count.
func (c *Cell) forgetLapsed(e *endpoint) {
	for _, l := range e.lapsedAttempts {
		c.removeLapsed(l)
	}
	e.lapsedAttempts = nil
}

func (c *Cell) removeLapsed(l lapsedAttempt) {
	l.task.lapsedAttempts--
	c.placementDue = true
	c.markDirty(l.task.phase.job())
}

// mustWait says whether a task must wait: since endpoints have refused it, or until it is known how
// attempts at it have ended. With those that may have failed it has failed as often as it is
// tried.
func (c *Cell) mustWait(t *task) bool {
	return c.now.Before(t.notBefore) || t.lapsedAttempts > 0 && !t.phase.spec.Lasting && failureCount(t)+t.lapsedAttempts >= c.maxAttempts(t.phase.job())
}

// lapsedColumns is the number of columns of a lapse in a job's record: the place of its
// task's row, its attempt and the place of its endpoint.
const lapsedColumns = 3

// writeLapsed adds the lapses of a job's tasks to its record, whose rows hold the tasks.
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

// readLapsed takes over the lapses of a job's record.
func (c *Cell) readLapsed(j *job, record wire.JobRecord) error {
	for _, row := range record.Lapsed {
		if len(row) != lapsedColumns || row[0] < 0 || row[0] >= len(record.Tasks) || row[2] < 0 || row[2] >= len(record.Endpoints) {
			return fmt.Errorf("job %s has a lapse %v", j.id, row)
		}
		if t := c.findTask(rowTaskID(j, record.Tasks[row[0]])); t != nil {
			e := c.ensureEndpoint(damsonwinch.ParseLife(record.Endpoints[row[2]]))
			e.lapsedAttempts = append(e.lapsedAttempts, lapsedAttempt{task: t, attempt: row[1]})
			t.lapsedAttempts++
		}
	}
	return nil
}
