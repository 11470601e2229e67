package cellrecord

import (
	"fmt"

	"damsonwinch/pkg/wire"
)

// Numbers of columns of the rows that stand for work that is done. Such rows follow the rows of single tasks in
// JobRecord.Tasks. Versions that don't know them refuse the record, since a row of a task has more columns: an owner that
// skipped them would start the tasks again.
const (
	// roundRangeColumns: the first round and the number of rounds.
	roundRangeColumns = 2
	// taskRangeColumns: round, phase and index of the first task, and the number of tasks.
	taskRangeColumns = 4
)

// RoundRange stands for rounds of a job whose tasks are all done.
type RoundRange struct {
	First int
	Count int
}

// TaskRange stands for tasks of one round that are done. It begins with the task that it names and goes on in the order
// of phases and, within a phase, of indexes.
type TaskRange struct {
	Round int
	Phase int
	Index int
	Count int
}

// AddDoneRounds adds a range of rounds to a job's record. It must not be followed by AddTask.
func AddDoneRounds(record *wire.JobRecord, rounds RoundRange) {
	record.Tasks = append(record.Tasks, []int{rounds.First, rounds.Count})
}

// AddDoneTasks adds a range of tasks to a job's record. It must not be followed by AddTask.
func AddDoneTasks(record *wire.JobRecord, tasks TaskRange) {
	record.Tasks = append(record.Tasks, []int{tasks.Round, tasks.Phase, tasks.Index, tasks.Count})
}

// Done returns the ranges of a job's record.
func Done(record wire.JobRecord) ([]RoundRange, []TaskRange, error) {
	var rounds []RoundRange
	var tasks []TaskRange
	singleTasks := len(taskRows(record))
	for index, row := range record.Tasks[singleTasks:] {
		switch len(row) {
		case roundRangeColumns:
			rounds = append(rounds, RoundRange{First: row[0], Count: row[1]})
		case taskRangeColumns:
			tasks = append(tasks, TaskRange{Round: row[0], Phase: row[1], Index: row[2], Count: row[3]})
		default:
			return nil, nil, fmt.Errorf("row %d: invalid row with %d columns", singleTasks+index, len(row))
		}
	}
	return rounds, tasks, nil
}

// taskRows returns the rows of a record that stand for single tasks. Those of ranges follow them.
func taskRows(record wire.JobRecord) [][]int {
	for index, row := range record.Tasks {
		if len(row) < columnRuns {
			return record.Tasks[:index]
		}
	}
	return record.Tasks
}
