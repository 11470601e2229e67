package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// Load restores the cell from the newest record of each key in its stream. Before that, the owner
// must have raised the stream's epoch, so that no earlier owner can append to it. Every recorded
// run may still be running on its recorded endpoint.
func (c *Cell) Load(now time.Time, records []damsonwinch.Record) error {
	c.beginEvent(now)
	c.ConfirmOwnership(now)
	specs := map[string]wire.AcceptedJob{}
	for _, record := range records {
		if kind, id := cellrecord.ParseKey(record.Key); kind == cellrecord.Spec {
			var spec wire.AcceptedJob
			if err := cellrecord.Decode(record, &spec); err != nil {
				return err
			}
			specs[id] = spec
		}
	}
	for _, record := range records {
		if err := c.loadRecord(record, specs); err != nil {
			return err
		}
	}
	slices.SortFunc(c.activeJobs, func(a, b *job) int { return a.acceptedMs - b.acceptedMs })
	for _, j := range c.activeJobs {
		c.reopenPhases(j)
	}
	return nil
}

// loadRecord restores what one record holds. specs holds the jobs' specifications by job ID; their
// records have been read before.
func (c *Cell) loadRecord(record damsonwinch.Record, specs map[string]wire.AcceptedJob) error {
	kind, subject := cellrecord.ParseKey(record.Key)
	switch kind {
	case cellrecord.Spec:
		return nil
	case cellrecord.Allowances:
		return c.loadAllowances(record)
	case cellrecord.Endpoint:
		return c.loadEndpointRecord(record, damsonwinch.ParseLife(subject))
	case cellrecord.Workload:
		return c.loadWorkload(record)
	case cellrecord.Address:
		return c.loadAddress(record, subject)
	}
	return c.loadJob(record, specs)
}

// loadJob restores a job. A job without a specification has ended, and nothing of it can run.
func (c *Cell) loadJob(record damsonwinch.Record, specs map[string]wire.AcceptedJob) error {
	var saved wire.JobRecord
	if err := cellrecord.Decode(record, &saved); err != nil {
		return err
	}
	j := &job{id: record.Key, customer: saved.Customer, endedMs: saved.EndedMs, state: saved.State, recordedState: saved.State, recorded: true, unsubmitted: saved.Unsubmitted}
	accepted, hasSpec := specs[record.Key]
	j.address = cmp.Or(accepted.Address, saved.Address)
	c.addJob(j)
	if j.unsubmitted {
		c.unsubmittedJobs++
	}
	if !hasSpec {
		if !j.ended() {
			return fmt.Errorf("job %s has a record and no specification", j.id)
		}
		return nil
	}
	j.customer = accepted.Customer
	j.queue, j.spec, j.acceptedMs, j.deadlineMs = accepted.Queue, accepted.Spec, accepted.AcceptedMs, accepted.DueMs
	j.priority, j.acceptedTerms, j.specRecorded = accepted.Priority, decodeTerms(accepted), true
	c.updateTerms(j)
	j.overShare = accepted.OverShare
	j.totalTasks = jobs.TotalTasks(j.spec)
	c.estimateJob(j)
	if err := c.restoreTasks(j, saved); err != nil {
		return err
	}
	if !j.ended() || j.runCount > 0 {
		c.activeJobs = append(c.activeJobs, j)
	}
	return nil
}

// reopenPhases recounts the unfinished work of a loaded job and opens the phases whose dependencies
// are done.
func (c *Cell) reopenPhases(j *job) {
	for _, r := range j.rounds {
		r.unfinishedPhases = 0
		for _, p := range r.phases {
			p.unfinishedDeps = 0
			for _, earlier := range p.spec.After {
				if r.phases[earlier].unfinishedTasks > 0 {
					p.unfinishedDeps++
				}
			}
			if p.unfinishedTasks > 0 {
				r.unfinishedPhases++
			}
		}
		for _, p := range r.phases {
			if p.unfinishedDeps == 0 && p.unfinishedTasks > 0 {
				c.openPhase(p)
			}
		}
	}
}
