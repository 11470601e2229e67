package cellrecord

import (
	"fmt"
	"slices"

	"damsonwinch"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/wire"
)

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

// MaxTaskBytes is an upper bound of the bytes that a task that is not done takes in its job's record, with two attempts, two
// lapsed ones, a history of crashes, a checkpoint of 32 bytes and a range of done tasks before it.
const MaxTaskBytes = 320

// runColumns is the number of columns for each attempt that may be running.
const runColumns = 2

// Task is what is recorded about a task that has been started.
type Task struct {
	Round int
	Phase int
	Index int
	// LastAttempt is the highest attempt number used so far.
	LastAttempt    int
	FailedAttempts int
	Done           bool
	// Checkpoint is the newest known checkpoint, or empty. It is not recorded for a task that is done.
	Checkpoint string
	// Crashes is the history of the losses of endpoints under the task. It is not recorded for a task
	// that is done.
	Crashes crash.History
	// Runs holds the attempts that may be running.
	Runs []Attempt
}

// Attempt is an attempt at a task on an endpoint.
type Attempt struct {
	Number int
	Life   damsonwinch.Life
	// Sent is set if the start of the attempt was sent. It is recorded only for tasks under which endpoints were lost, and
	// not for lapsed attempts.
	Sent bool
}

// LapsedAttempt is an attempt whose lease has expired while its endpoint was out of reach. Row is the
// index of its task among the recorded tasks.
type LapsedAttempt struct {
	Row int
	Attempt
}

// AddTask adds a task to its job's record, and returns the index of its row there.
func AddTask(record *wire.JobRecord, t Task) int {
	index := len(record.Tasks)
	row := make([]int, columnRuns, columnRuns+runColumns*len(t.Runs))
	row[columnRound], row[columnPhase], row[columnIndex] = t.Round, t.Phase, t.Index
	row[columnAttempt], row[columnFailed] = t.LastAttempt, t.FailedAttempts
	if t.Done {
		row[columnDone] = 1
	} else if t.Checkpoint != "" {
		record.Saved = append(record.Saved, wire.SavedTask{Row: index, Checkpoint: t.Checkpoint})
	}
	for _, attempt := range t.Runs {
		row = append(row, attempt.Number, endpointIndex(record, attempt.Life))
	}
	if t.Crashes.Losses > 0 && !t.Done {
		record.Crashed = append(record.Crashed, crashRow(index, t.Crashes))
		addStarts(record, index, t)
	}
	record.Tasks = append(record.Tasks, row)
	return index
}

// addStarts adds to a job's record what is known of the starts of a task under which endpoints were lost. index is the
// index of the task's row.
func addStarts(record *wire.JobRecord, index int, t Task) {
	for _, attempt := range t.Runs {
		if attempt.Sent {
			record.Sent = append(record.Sent, []int{index, attempt.Number})
		}
	}
	if t.Crashes.UnsentLosses > 0 {
		record.UnsentLosses = append(record.UnsentLosses, []int{index, t.Crashes.UnsentLosses})
	}
}

// AddLapsed adds a lapsed attempt to its job's record.
func AddLapsed(record *wire.JobRecord, lapsed LapsedAttempt) {
	record.Lapsed = append(record.Lapsed, []int{lapsed.Row, lapsed.Number, endpointIndex(record, lapsed.Life)})
}

// endpointIndex returns the index of an endpoint in the record's list of endpoints, and adds it
// there if it is missing.
func endpointIndex(record *wire.JobRecord, life damsonwinch.Life) int {
	text := life.String()
	if index := slices.Index(record.Endpoints, text); index >= 0 {
		return index
	}
	record.Endpoints = append(record.Endpoints, text)
	return len(record.Endpoints) - 1
}

// Tasks returns the tasks that have rows of their own and the lapsed attempts of a job's record.
func Tasks(record wire.JobRecord) ([]Task, []LapsedAttempt, error) {
	rows := taskRows(record)
	tasks := make([]Task, len(rows))
	for index, row := range rows {
		t, err := decodeTask(row, record.Endpoints)
		if err != nil {
			return nil, nil, fmt.Errorf("row %d: %w", index, err)
		}
		tasks[index] = t
	}
	for _, saved := range record.Saved {
		if saved.Row < 0 || saved.Row >= len(tasks) {
			return nil, nil, fmt.Errorf("checkpoint for row %d of %d", saved.Row, len(tasks))
		}
		tasks[saved.Row].Checkpoint = saved.Checkpoint
	}
	for _, row := range record.Crashed {
		if len(row) != crashColumns || row[0] < 0 || row[0] >= len(tasks) {
			return nil, nil, fmt.Errorf("invalid row of crashes %v", row)
		}
		tasks[row[0]].Crashes = decodeCrashRow(row)
	}
	if err := decodeStarts(record, tasks); err != nil {
		return nil, nil, err
	}
	var lapsed []LapsedAttempt
	for _, row := range record.Lapsed {
		if len(row) != lapsedColumns || row[0] < 0 || row[0] >= len(tasks) || row[2] < 0 || row[2] >= len(record.Endpoints) {
			return nil, nil, fmt.Errorf("invalid row of lapsed attempts %v", row)
		}
		lapsed = append(lapsed, LapsedAttempt{Row: row[0], Attempt: Attempt{Number: row[1], Life: damsonwinch.ParseLife(record.Endpoints[row[2]])}})
	}
	return tasks, lapsed, nil
}

// startColumns is the number of columns of a row of JobRecord.Sent and of JobRecord.UnsentLosses: the index of the task's
// row, and the number of an attempt or of losses. Earlier versions of the program have no such rows and count all losses
// alike.
const startColumns = 2

// decodeStarts notes what a job's record says of the starts of tasks under which endpoints were lost.
func decodeStarts(record wire.JobRecord, tasks []Task) error {
	for _, row := range slices.Concat(record.Sent, record.UnsentLosses) {
		if len(row) != startColumns || row[0] < 0 || row[0] >= len(tasks) {
			return fmt.Errorf("invalid row of starts %v", row)
		}
	}
	for _, row := range record.Sent {
		runs := tasks[row[0]].Runs
		for at := range runs {
			runs[at].Sent = runs[at].Sent || runs[at].Number == row[1]
		}
	}
	for _, row := range record.UnsentLosses {
		tasks[row[0]].Crashes.UnsentLosses = row[1]
	}
	return nil
}

// lapsedColumns is the number of columns of a row of JobRecord.Lapsed: the index of the task's row,
// the number of the attempt and the index of the endpoint.
const lapsedColumns = 3

// decodeTask returns the task that a row is about, without its checkpoint and crashes. endpoints holds
// the endpoints of the job's record.
func decodeTask(row []int, endpoints []string) (Task, error) {
	if len(row) < columnRuns || (len(row)-columnRuns)%runColumns != 0 {
		return Task{}, fmt.Errorf("invalid row with %d columns", len(row))
	}
	t := Task{
		Round: row[columnRound], Phase: row[columnPhase], Index: row[columnIndex],
		LastAttempt: row[columnAttempt], FailedAttempts: row[columnFailed], Done: row[columnDone] != 0,
	}
	for runs := row[columnRuns:]; len(runs) > 0; runs = runs[runColumns:] {
		number, index := runs[0], runs[1]
		if index < 0 || index >= len(endpoints) {
			return Task{}, fmt.Errorf("reference to missing endpoint %d of %d", index, len(endpoints))
		}
		t.Runs = append(t.Runs, Attempt{Number: number, Life: damsonwinch.ParseLife(endpoints[index])})
	}
	return t, nil
}
