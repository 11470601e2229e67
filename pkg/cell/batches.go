package cell

import (
	"strings"

	"damsonwinch"
)

// recordOverhead bounds the bytes that a record takes beside its key and value.
const recordOverhead = 16

// Batches cuts a commit into appends of at most so many bytes, where its records allow
// that: those of a job stay together. The store refuses a larger call for good, and what
// has piled up while it was away may be larger: 500 jobs with texts of 4 KB are 2 MB.
// A commit that was cut and not wholly appended leaves jobs as they were before.
func (c Commit) Batches(mostBytes int) [][]damsonwinch.Record {
	var batches [][]damsonwinch.Record
	begin, bytes := 0, 0
	for at := 0; at < len(c.Records); {
		next, size := at, 0
		for ; next < len(c.Records) && recordJob(c.Records[next]) == recordJob(c.Records[at]); next++ {
			size += len(c.Records[next].Key) + len(c.Records[next].Value) + recordOverhead
		}
		if bytes > 0 && bytes+size > mostBytes {
			batches = append(batches, c.Records[begin:at])
			begin, bytes = at, 0
		}
		at, bytes = next, bytes+size
	}
	return append(batches, c.Records[begin:])
}

// recordJob returns the job that a record is about, or the record's key.
func recordJob(record damsonwinch.Record) string {
	return strings.TrimSuffix(record.Key, specSuffix)
}
