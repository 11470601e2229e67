package cell

import (
	"fmt"

	"damsonwinch/pkg/cellrecord"
	jobs "damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// keyLengthBytes is what the store counts for a record beside its key and value.
const keyLengthBytes = 1

// maxValueBytes returns the length of the longest value that the store takes for a job's record.
func (c *Cell) maxValueBytes(j *job) int {
	return c.options.MaxRecordBytes - keyLengthBytes - len(j.id)
}

// listsAllTasks reports whether the job's record has a row for each task that was started, also if it is done. That is
// so for jobs whose record has room for all their tasks, since earlier versions can't read the ranges of other records.
func (c *Cell) listsAllTasks(j *job) bool {
	return !c.options.RangesOnly && j.totalTasks <= c.maxRows(j)
}

// maxRows returns how many tasks the job's record has room for, whatever happens to them.
func (c *Cell) maxRows(j *job) int {
	return max(0, c.maxValueBytes(j)) / cellrecord.MaxTaskBytes
}

// recordHolds reports whether the job's record has room for more tasks of a round that have not been started yet. A
// round that has not begun leaves half of the record to those that have: their records grow while they go on.
func (c *Cell) recordHolds(r *round, more int) bool {
	j := r.job
	if c.listsAllTasks(j) || j.recordedRows+j.plannedRows == 0 {
		return true
	}
	limit := c.maxValueBytes(j)
	if !r.begun {
		limit /= 2
	}
	added := j.plannedRows + more
	bytes := max(j.recordBytes, j.recordedRows*cellrecord.MaxTaskBytes)
	return bytes+added*cellrecord.MaxTaskBytes <= limit
}

// awaitsRecord reports whether a task must not be started yet because its job's record has no room for another one. A
// task that was started before is in the record.
func (c *Cell) awaitsRecord(t *task) bool {
	return t.lastAttempt == 0 && !c.recordHolds(t.phase.round, 1)
}

// checkRecords returns an error if the store could not take the records of a submitted job: its specification, or as
// many tasks as must run at the same time. Other tasks can wait until there is room, see recordHolds.
func (c *Cell) checkRecords(j *job) error {
	spec := cellrecord.EncodeSpec(j.id, j.acceptedJob())
	if size := keyLengthBytes + len(spec.Key) + len(spec.Value); size > c.options.MaxRecordBytes {
		return fmt.Errorf("the job's specification takes a record of %d bytes; the store takes %d", size, c.options.MaxRecordBytes)
	}
	if together := jobs.TasksTogether(j.spec); !c.listsAllTasks(j) && together > c.maxRows(j)/2 {
		return fmt.Errorf("%d tasks of the job have to run at the same time; the store takes records of at most %d such tasks", together, c.maxRows(j)/2)
	}
	return nil
}

// failOversized fails a job whose record is longer than the store takes. The store would refuse the whole append, and
// with it the records of all other jobs.
func (c *Cell) failOversized(j *job, bytes int) {
	c.stats.JobsFailed++
	c.endJob(j, wire.JobStateFailed, fmt.Sprintf("its record has %d bytes; the store takes %d", bytes, c.maxValueBytes(j)))
}
