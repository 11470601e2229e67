package intake

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestPendingIncludesJobsInFormerPools guards against a number of pending jobs that leaves out the jobs which wait in
// the pool that their queue led to when they were accepted.
func TestPendingIncludesJobsInFormerPools(t *testing.T) {
	cells := newFakeCells(2, "former", "unrelated")
	cells.formerPools = []string{"former"}
	router := newTestRouter(cells)
	assert.DeepEqual(t, router.Pending(t.Context(), callArgs("", "pool")), wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: 1 + 2 + 1 + 2})

	cells.owners["former"].pending = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	assert.Equal(t, router.Pending(t.Context(), callArgs("", "pool")).Outcome, wire.JobOutcomeRefused)
}
