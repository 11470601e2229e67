package intake

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// TestSubmissionToAnotherPoolIsRefusedByItsOwner guards against a job that is accepted by the cell of a pool to which
// its queue no longer leads, whether the client's node or another one owns the cell.
func TestSubmissionToAnotherPoolIsRefusedByItsOwner(t *testing.T) {
	cells := newFakeCells(1)
	cells.misdirected = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the queue leads elsewhere", RetryAfterMs: 500}
	assert.Equal(t, newTestRouter(cells).Submit(t.Context(), submitArgs("a1", false)).Reason, cells.misdirected.Reason)

	service := NewService(t.Context(), membership.Member{}, cells, clockwork.NewRealClock())
	args, reply := submitArgs("a1", false), wire.JobReply{}
	args.Cell = "pool"
	assert.NilError(t, service.Submit(args, &reply))
	assert.Equal(t, reply.Reason, cells.misdirected.Reason)
	assert.Equal(t, len(cells.owners["pool"].jobs), 0)

	cells.owners["pool"].jobs["b2"] = true
	reply = newTestRouter(cells).Submit(t.Context(), submitArgs("b2", false))
	assert.Equal(t, reply.Outcome, wire.JobOutcomeAccepted, "the pool has accepted the job before")
}

// TestJobOfAnotherPoolIsShownButNotDenied guards against an owner whose node has an older configuration than the caller:
// it may still accept submissions of a job that it doesn't have, but a job that it has is there.
func TestJobOfAnotherPoolIsShownButNotDenied(t *testing.T) {
	cells := newFakeCells(1)
	cells.misdirected = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "no configuration of this version", RetryAfterMs: 500}
	cells.owners["pool"].jobs["a1"] = true
	router := newTestRouter(cells)
	assert.Equal(t, router.Show(t.Context(), callArgs("a1", "pool")).State, wire.JobStateRunning)
	assert.Equal(t, router.Show(t.Context(), callArgs("b2", "pool")).Reason, cells.misdirected.Reason)
}
