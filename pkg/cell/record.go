package cell

import (
	"encoding/json"
	"fmt"
	"slices"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// specSuffix is the suffix of the key of the record that holds a job as it was submitted. That
// record is written once.
const specSuffix = "/spec"

// Columns of a task's row in a job's record: its round, phase and index, the highest attempt
// number, the number of failed attempts, and 1 if it is done. Rows without field names take 270
// bytes of the stream per task over its lifetime; with field names they would take 920.
const (
	columnRound = iota
	columnPhase
	columnIndex
	columnAttempt
	columnFailed
	columnDone
	// columnRuns is the first column of the attempts that may be running. Each has two: its number
	// and the index of its endpoint in JobRecord.Endpoints.
	columnRuns
)

// runColumns is the number of columns for each attempt that may be running.
const runColumns = 2

// jobRecords returns the records that hold the present state of a job. It writes the specification
// once, and deletes it when the job has ended and nothing of it can run.
func (c *Cell) jobRecords(j *job) []damsonwinch.Record {
	var records []damsonwinch.Record
	if !j.specRecorded && (!j.ended() || j.runCount > 0) {
		// An owner that takes over an ended job must know which of the job's runs may still exist.
		j.specRecorded = true
		records = append(records, damsonwinch.Record{Key: j.id + specSuffix, Value: encode(wire.AcceptedJob{
			Queue: j.queue, Customer: j.customer, AcceptedMs: j.acceptedMs, Priority: j.priority, MostAttempts: j.maxAttempts, DueMs: j.deadlineMs, Spec: j.spec, OverShare: j.overShare,
		})})
	}
	if j.ended() && j.specRecorded && j.runCount == 0 {
		// Nothing of the job can run any more.
		j.specRecorded = false
		records = append(records, damsonwinch.Record{Key: j.id + specSuffix})
	}
	record := wire.JobRecord{State: j.state, EndedMs: j.endedMs}
	if !j.specRecorded {
		record.Customer = j.customer
	}
	if !j.ended() || j.runCount > 0 {
		c.writeLapsed(j, writeTasks(j, &record), &record)
	}
	return append(records, damsonwinch.Record{Key: j.id, Value: encode(record)})
}

// writeTasks adds a row for each started task to a job's record. It returns the row numbers of the
// tasks with lapsed attempts.
func writeTasks(j *job, record *wire.JobRecord) map[*task]int {
	var rows map[*task]int
	for _, r := range j.rounds {
		for _, p := range r.phases {
			for _, t := range p.tasks {
				if t.lastAttempt == 0 && !t.done {
					continue
				}
				if t.lapsedAttempts > 0 {
					if rows == nil {
						rows = map[*task]int{}
					}
					rows[t] = len(record.Tasks)
				}
				writeTask(t, record)
			}
		}
	}
	return rows
}

// writeTask adds the row of a task to its job's record, and its checkpoint and crashes, if any.
func writeTask(t *task, record *wire.JobRecord) {
	row := make([]int, columnRuns, columnRuns+runColumns*len(t.runs))
	row[columnRound], row[columnPhase], row[columnIndex] = t.phase.round.number, t.phase.number, t.index
	row[columnAttempt], row[columnFailed] = t.lastAttempt, t.failedAttempts
	if t.done {
		row[columnDone] = 1
	} else if t.checkpoint != "" {
		record.Saved = append(record.Saved, wire.SavedTask{Row: len(record.Tasks), Checkpoint: t.checkpoint})
	}
	for _, r := range t.runs {
		row = append(row, r.attempt, endpointIndex(r.endpoint, record))
	}
	writeCrashes(t, record)
	record.Tasks = append(record.Tasks, row)
}

// endpointIndex returns the index of an endpoint in the record's list of endpoints, and adds it
// there if it is missing.
func endpointIndex(e *endpoint, record *wire.JobRecord) int {
	life := e.info.Life.String()
	if index := slices.Index(record.Endpoints, life); index >= 0 {
		return index
	}
	record.Endpoints = append(record.Endpoints, life)
	return len(record.Endpoints) - 1
}

// encode returns the JSON value of a record. Encoding plain structs of strings and numbers can't
// fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return data
}

// readTasks restores a job's rounds from its record. Every attempt listed in it may still be
// running.
func (c *Cell) readTasks(j *job, record wire.JobRecord) error {
	for number, row := range record.Tasks {
		if err := c.readTask(j, record, row); err != nil {
			return fmt.Errorf("row %d of job %s: %w", number, j.id, err)
		}
	}
	for _, saved := range record.Saved {
		if saved.Row < 0 || saved.Row >= len(record.Tasks) {
			return fmt.Errorf("job %s has a checkpoint for row %d of %d", j.id, saved.Row, len(record.Tasks))
		}
		if t := c.findTask(rowTaskID(j, record.Tasks[saved.Row])); t != nil {
			t.checkpoint = saved.Checkpoint
		}
	}
	if err := c.readCrashes(j, record); err != nil {
		return err
	}
	return c.readLapsed(j, record)
}

// readTask restores a task from its row in a job's record.
func (c *Cell) readTask(j *job, record wire.JobRecord, row []int) error {
	if len(row) < columnRuns || (len(row)-columnRuns)%runColumns != 0 {
		return fmt.Errorf("invalid row with %d columns", len(row))
	}
	if row[columnRound] >= j.totalRounds() {
		return fmt.Errorf("reference to missing round %d of %d", row[columnRound], j.totalRounds())
	}
	for len(j.rounds) <= row[columnRound] {
		j.rounds = append(j.rounds, newRound(j, len(j.rounds)))
	}
	t := c.findTask(rowTaskID(j, row))
	if t == nil {
		return fmt.Errorf("no task with round, phase and index %v", row[:columnAttempt])
	}
	j.placed = true
	j.begun = j.begun || row[columnDone] != 0 || row[columnFailed] > 0
	t.lastAttempt, t.failedAttempts = row[columnAttempt], row[columnFailed]
	for runs := row[columnRuns:]; len(runs) > 0; runs = runs[runColumns:] {
		attempt, index := runs[0], runs[1]
		if index < 0 || index >= len(record.Endpoints) {
			return fmt.Errorf("reference to missing endpoint %d of %d", index, len(record.Endpoints))
		}
		c.addRun(&run{task: t, attempt: attempt, endpoint: c.ensureEndpoint(damsonwinch.ParseLife(record.Endpoints[index])), state: runUnverified, startedAt: c.now, inherited: true, speedPercent: minSpeedPercent})
	}
	if row[columnDone] != 0 && !t.done {
		t.done = true
		t.phase.unfinishedTasks--
	}
	return nil
}

// rowTaskID returns the ID of the task that a row is about.
func rowTaskID(j *job, row []int) damsonwinch.TaskID {
	return damsonwinch.TaskID{Job: j.id, Round: row[columnRound], Phase: row[columnPhase], Index: row[columnIndex]}
}
