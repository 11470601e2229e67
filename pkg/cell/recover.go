package cell

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Load takes over what the stream holds of the cell: its newest record of each
// key, after the stream's epoch was raised, so that no earlier owner can add to
// it. Every recorded run may still be running where its record says.
func (c *Cell) Load(now time.Time, records []damsonwinch.Record) error {
	c.begin(now)
	c.Confirm(now)
	specs := map[string]wire.JobSpec{}
	for _, record := range records {
		if id, isSpec := strings.CutSuffix(record.Key, specSuffix); isSpec {
			var spec wire.JobSpec
			if err := json.Unmarshal(record.Value, &spec); err != nil {
				return fmt.Errorf("read text of job %s: %w", id, err)
			}
			specs[id] = spec
		}
	}
	for _, record := range records {
		if err := c.loadRecord(record, specs); err != nil {
			return err
		}
	}
	slices.SortFunc(c.order, func(a, b *job) int { return a.acceptedMs - b.acceptedMs })
	for _, j := range c.order {
		c.reopen(j)
	}
	return nil
}

func (c *Cell) loadRecord(record damsonwinch.Record, specs map[string]wire.JobSpec) error {
	switch {
	case strings.HasSuffix(record.Key, specSuffix):
		return nil
	case strings.HasPrefix(record.Key, markPrefix):
		return c.loadMark(record)
	case strings.HasPrefix(record.Key, learnedPrefix):
		return c.loadLearned(record)
	}
	var saved wire.JobRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read record of job %s: %w", record.Key, err)
	}
	spec, hasSpec := specs[record.Key]
	j := &job{
		id: record.Key, queue: saved.Queue, spec: spec, acceptedMs: saved.AcceptedMs, dueMs: saved.DueMs, endedMs: saved.EndedMs,
		priority: saved.Priority, mostAttempts: saved.MostAttempts, state: saved.State, shown: saved.State, recorded: true, specSaved: hasSpec,
	}
	if !hasSpec && !j.ended() {
		return fmt.Errorf("job %s has a record and no text", j.id)
	}
	c.expect(j)
	c.jobs[j.id] = j
	c.loadTasks(j, saved.Tasks)
	if !j.ended() || j.runs > 0 {
		c.order = append(c.order, j)
	}
	return nil
}

// loadTasks fills a job's rounds from the records of its tasks.
func (c *Cell) loadTasks(j *job, saved []wire.TaskRecord) {
	for _, record := range saved {
		for len(j.rounds) <= record.Round {
			j.rounds = append(j.rounds, newRound(j, len(j.rounds)))
		}
		t := c.findTask(damsonwinch.TaskID{Job: j.id, Round: record.Round, Phase: record.Phase, Index: record.Index})
		if t == nil {
			continue
		}
		j.begun = true
		t.attempt, t.failed, t.saved = record.Attempt, record.Failed, record.Saved
		for _, running := range record.Runs {
			c.attach(&run{task: t, attempt: running.Attempt, at: c.endpointOf(running.Endpoint), state: runSuspect, since: c.now, adopted: true, speed: leastPace})
		}
		if record.Done {
			t.done = true
			t.phase.left--
		}
	}
}

// reopen opens the phases of a loaded job whose turn has come.
func (c *Cell) reopen(j *job) {
	for _, r := range j.rounds {
		r.left = 0
		for _, p := range r.phases {
			p.waitsFor = 0
			for _, earlier := range p.spec.After {
				if r.phases[earlier].left > 0 {
					p.waitsFor++
				}
			}
			if p.left > 0 {
				r.left++
			}
		}
		for _, p := range r.phases {
			if p.waitsFor == 0 && p.left > 0 {
				c.openPhase(p)
			}
		}
	}
}
