package intake

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestLongRunningJobIsReachedWhileTheCellOfItsIDFails guards against calls on a long-running job that fail because the
// cell that is determined by its ID, which never has the job, refuses them. That cell refuses all cancellations of jobs
// that it doesn't have while it holds as many as it may record, so that one client could block those of all others.
func TestLongRunningJobIsReachedWhileTheCellOfItsIDFails(t *testing.T) {
	cells := newFakeCells(4, "other")
	router, id := newTestRouter(cells), "a1"
	for cells.layout.JobShard(id) == cells.layout.LongRunningJobShard("pool") {
		id += "1"
	}
	assert.Equal(t, router.Submit(t.Context(), submitArgs(id, true)).Outcome, wire.JobOutcomeAccepted)
	failing := cells.owners[shard.CellName("pool", cells.layout.JobShard(id))]
	failing.failure = wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "no reply"}
	assert.Equal(t, router.Show(t.Context(), callArgs(id, "pool")).State, wire.JobStateRunning)
	failing.failure = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "too many jobs were cancelled before they were submitted", RetryAfterMs: 1000}
	assert.Equal(t, router.Show(t.Context(), callArgs(id, "other")).State, wire.JobStateRunning, "from another pool")
	assert.Equal(t, router.Cancel(t.Context(), callArgs(id, "pool")).Outcome, wire.JobOutcomeAccepted)
	assert.Equal(t, router.Cancel(t.Context(), callArgs(id, "pool")).Outcome, wire.JobOutcomeRefused, "the cell that fails may have the job")
}

// TestCellOfAnIDDeniesLongRunningJobsTentatively guards against an append for each call on a long-running job: the owner
// of the cell that is determined by the job's ID, which never has the job, confirmed and logged that it has none.
func TestCellOfAnIDDeniesLongRunningJobsTentatively(t *testing.T) {
	cells := newFakeCells(4)
	router, id := newTestRouter(cells), "a1"
	for cells.layout.JobShard(id) == cells.layout.LongRunningJobShard("pool") {
		id += "1"
	}
	owner := cells.owners[shard.CellName("pool", cells.layout.JobShard(id))]
	assert.Equal(t, router.Submit(t.Context(), submitArgs(id, true)).Outcome, wire.JobOutcomeAccepted)
	assert.Equal(t, router.Show(t.Context(), callArgs(id, "pool")).State, wire.JobStateRunning)
	assert.Assert(t, owner.lastArgs.Load().Tentative)
	assert.Equal(t, router.Cancel(t.Context(), callArgs(id, "pool")).Outcome, wire.JobOutcomeAccepted)
	assert.Assert(t, owner.lastArgs.Load().Tentative)
	assert.Equal(t, router.Show(t.Context(), callArgs(id, "pool")).Outcome, wire.JobOutcomeNoSuchJob)
	assert.Assert(t, !owner.lastArgs.Load().Tentative, "a job that neither cell has is denied only after both have confirmed it")
}
