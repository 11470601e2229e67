package intake

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestJobSentAgainIsAcceptedOnceAfterItsQueueChanged guards against a second run of a job whose client sends it again
// after the queue's pool has changed.
func TestJobSentAgainIsAcceptedOnceAfterItsQueueChanged(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		cells := newFakeCells(4, "present")
		router := newTestRouter(cells)
		assert.Equal(t, router.Submit(t.Context(), submitArgs("a1", longRunning)).Outcome, wire.JobOutcomeAccepted)
		cells.formerPools = []string{"pool", "present"}
		for _, id := range []string{"a1", "b2", "b2"} {
			args := submitArgs(id, longRunning)
			args.Pool = "present"
			assert.Equal(t, router.Submit(t.Context(), args).Outcome, wire.JobOutcomeAccepted)
		}
		for _, cell := range cells.layout.CellNames("present") {
			assert.Assert(t, !cells.owners[cell].jobs["a1"], "a second copy in %s", cell)
			assert.Equal(t, cells.owners[cell].lookups.Load(), int64(0), "the present pool is not asked beside the submission")
		}
		for _, cell := range cells.layout.CellNames("pool") {
			assert.Assert(t, !cells.owners[cell].jobs["b2"], "a new job in the former pool's %s", cell)
		}
	}
}

// TestNewJobWaitsForTheAnswerOfTheFormerPool guards against a job that is accepted a second time because its queue's
// former pool can't say whether it has it.
func TestNewJobWaitsForTheAnswerOfTheFormerPool(t *testing.T) {
	cells := newFakeCells(1, "former")
	cells.formerPools = []string{"former"}
	cells.owners["former"].failure = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	reply := newTestRouter(cells).Submit(t.Context(), submitArgs("a1", false))
	assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused)
	assert.Assert(t, reply.RetryAfterMs > 0)
	assert.Equal(t, len(cells.owners["pool"].jobs), 0)
}
