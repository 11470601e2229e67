package intake

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestPendingIncludesJobsInFormerPools guards against a number of pending jobs that leaves out the jobs which wait in
// the pool that their queue led to when they were accepted.
func TestPendingIncludesJobsInFormerPools(t *testing.T) {
	cells := newFakeCells(2, "former")
	router := newTestRouter(cells)
	args := callArgs("", "pool")
	args.Address = "address"
	assert.DeepEqual(t, router.Pending(t.Context(), args), wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: 1 + 2 + 1 + 2})

	cells.owners["former"].pending = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	assert.Equal(t, router.Pending(t.Context(), args).Outcome, wire.JobOutcomeRefused)

	for _, cell := range cells.layout.CellNames("pool") {
		cells.owners[cell].pending.Settled = true
	}
	assert.Equal(t, router.Pending(t.Context(), args).Pending, 1+2, "no other pool has jobs of the queue")
}
