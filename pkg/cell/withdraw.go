package cell

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// markPrefix starts the keys of records about endpoints.
const markPrefix = "endpoint/"

// withdrawal is how far the emptying of an endpoint is.
type withdrawal struct {
	// requested says that the planner wants it empty.
	requested bool
	// urgent says that its tasks are to be run elsewhere instead of waited for.
	urgent bool
	// recorded says that the stream holds the withdrawal.
	recorded bool
}

// empty goes on with the emptying of an endpoint, and withdraws it for good once
// nothing runs there any more.
func (c *Cell) empty(e *endpoint) {
	if !e.withdraw.requested || e.withdrawn || e.gone {
		return
	}
	if len(e.runs) > 0 {
		c.evacuate(e)
		return
	}
	if !e.attached || e.silent {
		return
	}
	e.withdrawn = true
	c.mark(e)
	c.logEndpoint("endpoint withdrawn", e, "the fleet planner wants its box")
}

// evacuate stops what would not end soon by itself, so that it runs elsewhere.
func (c *Cell) evacuate(e *endpoint) {
	for _, r := range e.sortedRuns() {
		if r.stopping || r.state != runConfirmed {
			continue
		}
		spec := r.task.phase.spec
		switch {
		case spec.Lasting:
			// In a hurry it waits for room elsewhere: it goes first there, as soon as a
			// short task ends. In a full cell it would hold its box up for ever.
			if c.lastingAway(r.task.phase) < spec.AwayAtMost && (e.withdraw.urgent || c.roomElsewhere(r)) {
				c.stop(r, "its box is wanted")
			}
		case e.withdraw.urgent && spec.Checkpoints && !spec.Gang && (c.canWait(r) || c.roomElsewhere(r)):
			c.stop(r, "its box is wanted")
		}
	}
}

// canWait says whether a run's job would still be in time if the run stood still
// for a while.
func (c *Cell) canWait(r *run) bool {
	j := r.task.phase.job()
	return int(c.now.Add(waitForRoom).UnixMilli())+j.criticalPathMs[r.task.phase.number] < j.dueMs
}

// waitForRoom is how long a stopped task may have to wait for room, with the time
// of its stop and of its return to where it was.
const waitForRoom = 1500 * time.Millisecond

// roomElsewhere says whether a run could go on at another endpoint now.
func (c *Cell) roomElsewhere(r *run) bool {
	for _, e := range c.sortedEndpoints {
		if e != r.at && !e.withdraw.requested && c.allowed(r.task, e) {
			return true
		}
	}
	return false
}

// restore takes an endpoint back into use.
func (c *Cell) restore(e *endpoint) {
	if !e.withdrawn {
		return
	}
	e.withdrawn, e.withdraw = false, withdrawal{}
	c.commits.endpointRecords = append(c.commits.endpointRecords, damsonwinch.Record{Key: markPrefix + e.info.Life.String()})
	c.logEndpoint("endpoint restored", e, "the fleet planner does not need its box")
}

// mark records that an endpoint is withdrawn.
func (c *Cell) mark(e *endpoint) {
	c.commits.endpointRecords = append(c.commits.endpointRecords, e.markRecord(c.now))
	c.commits.withdrawals = append(c.commits.withdrawals, e)
}

func (c *Cell) loadMark(record damsonwinch.Record) error {
	var mark wire.EndpointRecord
	if err := json.Unmarshal(record.Value, &mark); err != nil {
		return fmt.Errorf("read record of %s: %w", record.Key, err)
	}
	e := c.endpointOf(damsonwinch.ParseLife(strings.TrimPrefix(record.Key, markPrefix)))
	e.withdrawn, e.withdraw.recorded = mark.Withdrawn, mark.Withdrawn
	return nil
}

// deleteEndpointRecord makes the stream forget an endpoint.
func (c *Cell) deleteEndpointRecord(e *endpoint) {
	if e.withdrawn {
		c.commits.endpointRecords = append(c.commits.endpointRecords, damsonwinch.Record{Key: markPrefix + e.info.Life.String()})
	}
}
