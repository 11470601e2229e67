package cellrecord_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
)

// TestLargeCommitIsSplitBetweenJobs guards against a commit that can never be appended. The store
// always refuses a call of more than 2 MB, and the changes that accumulate while it is down may be
// larger.
func TestLargeCommitIsSplitBetweenJobs(t *testing.T) {
	const maxBytes, jobs, textBytes = 100_000, 200, 4000
	records := []damsonwinch.Record{{Key: "mark", Value: []byte("x")}}
	for number := range jobs {
		job := fmt.Sprintf("%016x", number)
		records = append(records,
			damsonwinch.Record{Key: job + "/spec", Value: make([]byte, textBytes)}, damsonwinch.Record{Key: job, Value: make([]byte, 100)})
	}
	var joined []damsonwinch.Record
	batches := cellrecord.Batches(records, maxBytes)
	for _, batch := range batches {
		bytes := 0
		for _, record := range batch {
			bytes += len(record.Key) + len(record.Value)
		}
		assert.Assert(t, bytes <= maxBytes)
		assert.Assert(t, len(batch[len(batch)-1].Value) != textBytes, "a job's specification and its state must be in the same batch")
		joined = append(joined, batch...)
	}
	assert.DeepEqual(t, joined, records)
	assert.Assert(t, len(batches) < 10, "%d batches", len(batches))
}

func TestSmallCommitIsOneBatch(t *testing.T) {
	records := []damsonwinch.Record{{Key: "a"}, {Key: "b"}}
	assert.DeepEqual(t, cellrecord.Batches(records, 1<<20), [][]damsonwinch.Record{records})
}
