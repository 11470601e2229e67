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
	state := c.encodeState(j)
	if len(state.Value) > c.maxValueBytes(j) && !j.ended() {
		c.failOversized(j, len(state.Value))
		state = c.encodeState(j)
	}
	var records []damsonwinch.Record
	if !j.specRecorded && j.needsSpec() {
		// An owner that takes over an ended job must know which of the job's runs may still exist.
		j.specRecorded = true
		records = append(records, cellrecord.EncodeSpec(j.id, j.acceptedJob()))
	}
	if j.specRecorded && !j.needsSpec() {
		// Nothing of the job can run any more.
		j.specRecorded = false
		records = append(records, cellrecord.DeleteSpec(j.id))
	}
	return append(records, state)
}

// acceptedJob returns the job as it was submitted.
func (j *job) acceptedJob() wire.AcceptedJob {
	return wire.AcceptedJob{
		Queue: j.queue, Address: j.address, Customer: j.customer, AcceptedMs: j.acceptedMs, Priority: j.priority, MostAttempts: j.acceptedTerms.maxAttempts, DueMs: j.deadlineMs, Spec: j.spec, OverShare: j.overShare, Terms: j.encodeTerms(),
	}
}

// needsSpec reports whether a later owner needs the job's specification: the job goes on, or runs of it may exist.
func (j *job) needsSpec() bool {
	return !j.ended() || j.runCount > 0
}

// encodeState returns the record of the changing part of a job.
func (c *Cell) encodeState(j *job) damsonwinch.Record {
	record := wire.JobRecord{State: j.state, EndedMs: j.endedMs, Unsubmitted: j.unsubmitted}
	if j.needsSpec() {
		c.settleRounds(j)
		c.writeLapsed(j, c.writeTasks(j, &record), &record)
	} else {
		record.Customer, record.Address = j.customer, j.address
	}
	encoded := cellrecord.EncodeJob(j.id, record)
	j.recordBytes = len(encoded.Value)
	return encoded
}

// writeTasks adds the started tasks to a job's record. It returns the row numbers of the tasks with
// lapsed attempts.
func (c *Cell) writeTasks(j *job, record *wire.JobRecord) map[*task]int {
	var rows map[*task]int
	// One list serves for the runs of all tasks, since a record is written at each start.
	var runs []cellrecord.Attempt
	done := doneRanges{listsTasks: c.listsAllTasks(j)}
	for _, r := range j.rounds {
		if r.settled {
			done.addRound(r)
			continue
		}
		for _, p := range r.phases {
			for _, t := range p.tasks {
				if t.lastAttempt == 0 && !t.done || done.addTask(t) {
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
	j.recordedRows, j.plannedRows = len(record.Tasks), 0
	if !j.ended() {
		// Nothing is started any more for a job that has ended.
		done.write(record)
	}
	return rows
}

// recorded returns what is recorded about the task. It appends the task's runs to the given list.
func (t *task) recorded(runs []cellrecord.Attempt) cellrecord.Task {
	recorded := cellrecord.Task{
		Round: t.phase.round.number, Phase: t.phase.number, Index: t.index,
		LastAttempt: t.lastAttempt, FailedAttempts: t.failedAttempts, Done: t.done, Crashes: t.crashes, Runs: runs,
	}
	if !t.phase.job().ended() {
		recorded.Checkpoint = t.checkpoint
	}
	for _, r := range t.runs {
		recorded.Runs = append(recorded.Runs, cellrecord.Attempt{Number: r.attempt, Life: r.endpoint.info.Life, Sent: r.wasSent()})
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
	if err := c.restoreDone(j, record); err != nil {
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
	for _, t := range tasks {
		// Settled tasks leave the record when it is written next.
		if !t.settled() {
			j.recordedRows++
		}
	}
	return nil
}

// restoreTask restores a task from what is recorded about it.
func (c *Cell) restoreTask(j *job, saved cellrecord.Task) (*task, error) {
	if saved.Round >= jobs.Rounds(j.spec) {
		return nil, fmt.Errorf("reference to missing round %d of %d", saved.Round, jobs.Rounds(j.spec))
	}
	j.addRounds(saved.Round + 1)
	t := c.findTask(damsonwinch.TaskID{Job: j.id, Round: saved.Round, Phase: saved.Phase, Index: saved.Index})
	if t == nil {
		return nil, fmt.Errorf("no task with round, phase and index %v", []int{saved.Round, saved.Phase, saved.Index})
	}
	j.placed, t.phase.round.begun = true, true
	j.begun = j.begun || saved.Done || saved.FailedAttempts > 0
	t.lastAttempt, t.failedAttempts = saved.LastAttempt, saved.FailedAttempts
	t.saveCheckpoint(saved.Checkpoint)
	for _, attempt := range saved.Runs {
		c.addRun(&run{task: t, attempt: attempt.Number, endpoint: c.ensureEndpoint(attempt.Life), state: runUnverified, startedAt: c.now, inherited: true, recordedSent: attempt.Sent, speedPercent: fillerspeed.MinPercent})
	}
	if saved.Done {
		t.restoreDone()
	}
	c.restoreCrashes(t, saved.Crashes)
	return t, nil
}
