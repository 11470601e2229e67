package cellrecord

import (
	"strings"

	"damsonwinch"
)

// recordOverhead is an upper bound of the bytes that a record takes in an append beside its key and
// value.
const recordOverhead = 16

// Batches splits the records of a commit into appends of at most maxBytes each, as far as that is possible: the
// records of a job stay together. The store always refuses a larger call, and a commit may become
// larger while the store is down: 500 jobs with specifications of 4 KB are 2 MB. If only some of
// the batches are appended, the jobs in the others stay in the stream as they were before.
func Batches(records []damsonwinch.Record, maxBytes int) [][]damsonwinch.Record {
	var batches [][]damsonwinch.Record
	begin, bytes := 0, 0
	for at := 0; at < len(records); {
		next, size := at, 0
		for ; next < len(records) && recordJob(records[next]) == recordJob(records[at]); next++ {
			size += len(records[next].Key) + len(records[next].Value) + recordOverhead
		}
		if bytes > 0 && bytes+size > maxBytes {
			batches = append(batches, records[begin:at])
			begin, bytes = at, 0
		}
		at, bytes = next, bytes+size
	}
	return append(batches, records[begin:])
}

// recordJob returns the ID of the job that a record is about, or the key of any other record.
func recordJob(record damsonwinch.Record) string {
	return strings.TrimSuffix(record.Key, specSuffix)
}
