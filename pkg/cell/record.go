package cell

import (
	"fmt"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/fillerspeed"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// jobRecords returns the records that hold the present state of a job. It writes the specification
// once, and deletes it when the job has ended and nothing of it can run.
func (c *Cell) jobRecords(j *job) []damsonwinch.Record {
	var records []damsonwinch.Record
	if !j.specRecorded && (!j.ended() || j.runCount > 0) {
		// An owner that takes over an ended job must know which of the job's runs may still exist.
		j.specRecorded = true
		records = append(records, cellrecord.EncodeSpec(j.id, wire.AcceptedJob{
			Queue: j.queue, Customer: j.customer, AcceptedMs: j.acceptedMs, Priority: j.priority, MostAttempts: j.maxAttempts, DueMs: j.deadlineMs, Spec: j.spec, OverShare: j.overShare,
		}))
	}
	if j.ended() && j.specRecorded && j.runCount == 0 {
		// Nothing of the job can run any more.
		j.specRecorded = false
		records = append(records, cellrecord.DeleteSpec(j.id))
	}
	record := wire.JobRecord{State: j.state, EndedMs: j.endedMs, Unsubmitted: j.unsubmitted}
	if !j.specRecorded {
		record.Customer = j.customer
	}
	if !j.ended() || j.runCount > 0 {
		c.writeLapsed(j, writeTasks(j, &record), &record)
	}
	return append(records, cellrecord.EncodeJob(j.id, record))
}

// writeTasks adds the started tasks to a job's record. It returns the row numbers of the tasks with
// lapsed attempts.
func writeTasks(j *job, record *wire.JobRecord) map[*task]int {
	var rows map[*task]int
	// One list serves for the runs of all tasks, since a record is written at each start.
	var runs []cellrecord.Attempt
	for _, r := range j.rounds {
		for _, p := range r.phases {
			for _, t := range p.tasks {
				if t.lastAttempt == 0 && !t.done {
					continue
				}
				recorded := t.recorded(runs[:0])
				runs = recorded.Runs
				row := cellrecord.AddTask(record, recorded)
				if t.lapsedAttempts > 0 {
					if rows == nil {
						rows = map[*task]int{}
					}
					rows[t] = row
				}
			}
		}
	}
	return rows
}

// recorded returns what is recorded about the task. It appends the task's runs to the given list.
func (t *task) recorded(runs []cellrecord.Attempt) cellrecord.Task {
	recorded := cellrecord.Task{
		Round: t.phase.round.number, Phase: t.phase.number, Index: t.index,
		LastAttempt: t.lastAttempt, FailedAttempts: t.failedAttempts, Done: t.done, Checkpoint: t.checkpoint, Crashes: t.crashes, Runs: runs,
	}
	for _, r := range t.runs {
		recorded.Runs = append(recorded.Runs, cellrecord.Attempt{Number: r.attempt, Life: r.endpoint.info.Life})
	}
	return recorded
}

// restoreTasks restores a job's rounds from its record. Every attempt listed in it may still be
// running.
func (c *Cell) restoreTasks(j *job, record wire.JobRecord) error {
	rows, lapsed, err := cellrecord.Tasks(record)
	if err != nil {
		return fmt.Errorf("job %s: %w", j.id, err)
	}
	tasks := make([]*task, len(rows))
	for index, row := range rows {
		if tasks[index], err = c.restoreTask(j, row); err != nil {
			return fmt.Errorf("row %d of job %s: %w", index, j.id, err)
		}
	}
	for _, attempt := range lapsed {
		c.restoreLapsed(tasks[attempt.Row], attempt.Attempt)
	}
	return nil
}

// restoreTask restores a task from what is recorded about it.
func (c *Cell) restoreTask(j *job, saved cellrecord.Task) (*task, error) {
	if saved.Round >= jobs.Rounds(j.spec) {
		return nil, fmt.Errorf("reference to missing round %d of %d", saved.Round, jobs.Rounds(j.spec))
	}
	for len(j.rounds) <= saved.Round {
		j.rounds = append(j.rounds, newRound(j, len(j.rounds)))
	}
	t := c.findTask(damsonwinch.TaskID{Job: j.id, Round: saved.Round, Phase: saved.Phase, Index: saved.Index})
	if t == nil {
		return nil, fmt.Errorf("no task with round, phase and index %v", []int{saved.Round, saved.Phase, saved.Index})
	}
	j.placed = true
	j.begun = j.begun || saved.Done || saved.FailedAttempts > 0
	t.lastAttempt, t.failedAttempts, t.checkpoint = saved.LastAttempt, saved.FailedAttempts, saved.Checkpoint
	for _, attempt := range saved.Runs {
		c.addRun(&run{task: t, attempt: attempt.Number, endpoint: c.ensureEndpoint(attempt.Life), state: runUnverified, startedAt: c.now, inherited: true, speedPercent: fillerspeed.MinPercent})
	}
	if saved.Done && !t.done {
		t.done = true
		t.phase.unfinishedTasks--
	}
	c.restoreCrashes(t, saved.Crashes)
	return t, nil
}
