package cell

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// endpointKeyPrefix starts the keys of records about endpoints.
const endpointKeyPrefix = "endpoint/"

// withdrawal is how far the emptying of an endpoint is.
type withdrawal struct {
	// requested says that the planner wants it empty.
	requested bool
	// urgent says that its tasks are to be run elsewhere instead of waited for.
	urgent bool
	// recorded says that the stream holds the withdrawal.
	recorded bool
}

// continueWithdrawal goes on with the emptying of an endpoint, and withdraws it for good once
// nothing runs there any more.
func (c *Cell) continueWithdrawal(e *endpoint) {
	if !e.withdrawal.requested || e.withdrawn || e.exited {
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
	c.recordWithdrawal(e)
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
			if c.countUnavailable(r.task.phase) < spec.AwayAtMost && (e.withdrawal.urgent || c.canStartElsewhere(r)) {
				c.stop(r, "its box is wanted")
			}
		case e.withdrawal.urgent && spec.Checkpoints && !spec.Gang && (c.canWaitForCapacity(r) || c.canStartElsewhere(r)):
			c.stop(r, "its box is wanted")
		}
	}
}

// canWaitForCapacity says whether a run's job would still be in time if the run stood still
// for a while.
func (c *Cell) canWaitForCapacity(r *run) bool {
	j := r.task.phase.job()
	return int(c.now.Add(capacityWait).UnixMilli())+j.criticalPathMs[r.task.phase.number] < j.dueMs
}

// capacityWait is how long a stopped task may have to wait for room, with the time
// of its stop and of its return to where it was.
const capacityWait = 1500 * time.Millisecond

// canStartElsewhere says whether a run could go on at another endpoint now.
func (c *Cell) canStartElsewhere(r *run) bool {
	for _, e := range c.sortedEndpoints {
		if e != r.endpoint && !e.withdrawal.requested && c.canStart(r.task, e) {
			return true
		}
	}
	return false
}

// restoreEndpoint takes an endpoint back into use.
func (c *Cell) restoreEndpoint(e *endpoint) {
	if !e.withdrawn {
		return
	}
	e.withdrawn, e.withdrawal = false, withdrawal{}
	c.commits.endpointRecords = append(c.commits.endpointRecords, damsonwinch.Record{Key: endpointKeyPrefix + e.info.Life.String()})
	c.logEndpoint("endpoint restored", e, "the fleet planner does not need its box")
}

// recordWithdrawal records that an endpoint is withdrawn.
func (c *Cell) recordWithdrawal(e *endpoint) {
	c.commits.endpointRecords = append(c.commits.endpointRecords, e.withdrawalRecord(c.now))
	c.commits.withdrawals = append(c.commits.withdrawals, e)
}

func (c *Cell) loadEndpointRecord(record damsonwinch.Record) error {
	var mark wire.EndpointRecord
	if err := json.Unmarshal(record.Value, &mark); err != nil {
		return fmt.Errorf("read record of %s: %w", record.Key, err)
	}
	e := c.ensureEndpoint(damsonwinch.ParseLife(strings.TrimPrefix(record.Key, endpointKeyPrefix)))
	e.withdrawn, e.withdrawal.recorded = mark.Withdrawn, mark.Withdrawn
	return nil
}

// deleteEndpointRecord makes the stream forget an endpoint.
func (c *Cell) deleteEndpointRecord(e *endpoint) {
	if e.withdrawn {
		c.commits.endpointRecords = append(c.commits.endpointRecords, damsonwinch.Record{Key: endpointKeyPrefix + e.info.Life.String()})
	}
}
