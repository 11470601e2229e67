package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/wire"
)

// withdrawal is the progress of taking an endpoint out of use, so that its box can be moved or
// maintained.
type withdrawal struct {
	// requested is set while the planner wants the endpoint to be without runs.
	requested bool
	// urgent is set when tasks should be moved to other endpoints, if possible, instead of being
	// waited for.
	urgent bool
	// recorded is set once the stream holds the withdrawal.
	recorded bool
	// since is when the planner first asked for the withdrawal, or when this owner loaded it; zero if the
	// endpoint is not being withdrawn.
	since time.Time
}

// updateWithdrawnSince updates since of all endpoints.
func (c *Cell) updateWithdrawnSince() {
	for _, e := range c.sortedEndpoints {
		switch isLeaving := e.withdrawn || e.withdrawal.requested; {
		case !isLeaving:
			e.withdrawal.since = time.Time{}
		case e.withdrawal.since.IsZero():
			e.withdrawal.since = c.now
		}
	}
}

// continueWithdrawal goes on with a withdrawal that the planner has requested: it empties the
// endpoint, and marks it as withdrawn once nothing runs there.
func (c *Cell) continueWithdrawal(e *endpoint) {
	if !e.withdrawal.requested || e.withdrawn || e.exited {
		return
	}
	if len(e.runs) > 0 {
		c.emptyEndpoint(e)
		return
	}
	if !e.attached || e.silent {
		return
	}
	e.withdrawn = true
	c.recordWithdrawal(e)
	c.logEndpoint("endpoint withdrawn", e, "the fleet planner wants its box")
}

// emptyEndpoint stops the runs that should continue on another endpoint instead of being waited for
// here.
func (c *Cell) emptyEndpoint(e *endpoint) {
	for _, r := range e.sortedRuns() {
		if r.stopping || r.state != runConfirmed {
			continue
		}
		spec := r.task.phase.spec
		switch {
		case spec.Lasting:
			// In an urgent withdrawal the task is stopped even if no other endpoint has capacity
			// now: it is placed as soon as a short task ends somewhere. Otherwise it would keep its
			// box forever if the cell is full.
			if c.mayInterrupt(r.task.phase) && (e.withdrawal.urgent || c.canStartElsewhere(r)) {
				c.stop(r, "its box is wanted")
			}
		case e.withdrawal.urgent && spec.Checkpoints && !spec.Gang && (c.canWaitForCapacity(r) || c.canStartElsewhere(r)):
			c.stop(r, "its box is wanted")
		}
	}
}

// mayInterrupt reports whether one more task of a long-running phase may be made unavailable.
func (c *Cell) mayInterrupt(p *phase) bool {
	return c.countUnavailable(p) < p.spec.AwayAtMost
}

// canWaitForCapacity reports whether a run's job would still meet its deadline if the run were
// stopped and its task had to wait for capacityWait.
func (c *Cell) canWaitForCapacity(r *run) bool {
	j := r.task.phase.job()
	return int(c.now.Add(capacityWait).UnixMilli())+j.criticalPathMs[r.task.phase.number] < j.deadlineMs
}

// capacityWait is how long a stopped task may have to wait for capacity, including the time to stop
// it and to resume it elsewhere.
const capacityWait = 1500 * time.Millisecond

// canStartElsewhere reports whether the task of a run could start on another endpoint now.
func (c *Cell) canStartElsewhere(r *run) bool {
	for _, e := range c.sortedEndpoints {
		if e != r.endpoint && !e.withdrawal.requested && c.canStart(r.task, e) {
			return true
		}
	}
	return false
}

// restoreEndpoint puts a withdrawn endpoint back into use.
func (c *Cell) restoreEndpoint(e *endpoint) {
	if !e.withdrawn {
		return
	}
	e.withdrawn, e.withdrawal = false, withdrawal{}
	c.commits.dropWithdrawal(e)
	c.commits.endpointRecords = append(c.commits.endpointRecords, cellrecord.DeleteEndpoint(e.info.Life))
	c.logEndpoint("endpoint restored", e, "the fleet planner does not need its box")
}

// recordWithdrawal adds the withdrawal of an endpoint to the next append.
func (c *Cell) recordWithdrawal(e *endpoint) {
	c.commits.endpointRecords = append(c.commits.endpointRecords, cellrecord.EncodeWithdrawal(e.info.Life, c.now))
	c.commits.withdrawals = append(c.commits.withdrawals, e)
}

// loadEndpointRecord restores whether an endpoint is withdrawn.
func (c *Cell) loadEndpointRecord(record damsonwinch.Record, life damsonwinch.Life) error {
	var saved wire.EndpointRecord
	if err := cellrecord.Decode(record, &saved); err != nil {
		return err
	}
	e := c.ensureEndpoint(life)
	e.withdrawn, e.withdrawal.recorded = saved.Withdrawn, saved.Withdrawn
	if saved.Withdrawn {
		e.withdrawal.since = c.now
	}
	return nil
}

// deleteEndpointRecord deletes the record about an endpoint, if there is one, with the next append.
func (c *Cell) deleteEndpointRecord(e *endpoint) {
	if e.withdrawn {
		c.commits.endpointRecords = append(c.commits.endpointRecords, cellrecord.DeleteEndpoint(e.info.Life))
	}
}
