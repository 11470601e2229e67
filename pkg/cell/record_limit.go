package cell

import "damsonwinch/pkg/cellrecord"

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
