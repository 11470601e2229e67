package cell_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
)

// TestLargeCommitIsSplitBetweenJobs since the store refuses a call of more than 2 MB each
// time that it is tried: what piled up while the store was away could never be appended.
func TestLargeCommitIsSplitBetweenJobs(t *testing.T) {
	const most, jobs, textBytes = 100_000, 200, 4000
	commit := cell.Commit{Records: []damsonwinch.Record{{Key: "mark", Value: []byte("x")}}}
	for number := range jobs {
		job := fmt.Sprintf("%016x", number)
		commit.Records = append(commit.Records,
			damsonwinch.Record{Key: job + "/spec", Value: make([]byte, textBytes)}, damsonwinch.Record{Key: job, Value: make([]byte, 100)})
	}
	var joined []damsonwinch.Record
	batches := commit.Batches(most)
	for _, batch := range batches {
		bytes := 0
		for _, record := range batch {
			bytes += len(record.Key) + len(record.Value)
		}
		assert.Assert(t, bytes <= most)
		assert.Assert(t, len(batch[len(batch)-1].Value) != textBytes, "a job's text and its state are appended together")
		joined = append(joined, batch...)
	}
	assert.DeepEqual(t, joined, commit.Records)
	assert.Assert(t, len(batches) < 10, "%d batches", len(batches))
}

func TestSmallCommitIsOneBatch(t *testing.T) {
	commit := cell.Commit{Records: []damsonwinch.Record{{Key: "a"}, {Key: "b"}}}
	assert.DeepEqual(t, commit.Batches(1<<20), [][]damsonwinch.Record{commit.Records})
}
