package cell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
)

// smallAppendBytes is less than the records of two jobs take, so that a commit has a part for each job.
const smallAppendBytes = 300

// splitCommit returns the appends into which the records of a commit are split.
func (w *world) splitCommit(records []damsonwinch.Record) [][]damsonwinch.Record {
	if w.maxAppendBytes == 0 {
		return [][]damsonwinch.Record{records}
	}
	parts := cellrecord.Batches(records, w.maxAppendBytes)
	if len(parts) > 1 {
		w.splitCommits++
	}
	return parts
}

// simulateSplitCommits runs the simulation of a seed in which commits are stored in parts. Owners are killed, paused and
// replaced between two of them.
func simulateSplitCommits(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.maxAppendBytes = smallAppendBytes
	w.setUp(2 * defaultJobs)
	w.runToEnd()
	return w
}

// TestRulesHoldWhenCommitsAreSplit guards against decisions that a new owner reads in part: the start of one job without
// the end of another one that was decided with it.
func TestRulesHoldWhenCommitsAreSplit(t *testing.T) {
	split := 0
	checkSeeds(t, testSeeds(200), func(seed uint64, m mutation) *world {
		w := simulateSplitCommits(seed, m)
		split += w.splitCommits
		return w
	})
	t.Logf("%d commits were split", split)
	assert.Assert(t, split > 0)
}
