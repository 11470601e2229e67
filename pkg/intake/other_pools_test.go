package intake

import (
	"testing"

	"github.com/jonboulle/clockwork"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// callArgs returns the arguments of a call on a job of a queue that leads to the given pool now.
func callArgs(id, pool string) wire.JobArgs {
	return wire.JobArgs{Queue: "queue", Pool: pool, Id: id}
}

// TestJobIsFoundInTheFormerPoolOfItsQueue guards against "no such job" for a job that runs on in the pool which its
// queue led to when it was accepted.
func TestJobIsFoundInTheFormerPoolOfItsQueue(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		cells := newFakeCells(4, "other", "third")
		router := newTestRouter(cells)
		assert.Equal(t, router.Submit(t.Context(), submitArgs("a1", longRunning)).Outcome, wire.JobOutcomeAccepted)
		assert.Equal(t, router.Show(t.Context(), callArgs("a1", "other")).State, wire.JobStateRunning)
		assert.Equal(t, router.Cancel(t.Context(), callArgs("a1", "other")).Outcome, wire.JobOutcomeAccepted)
		for _, owner := range cells.owners {
			assert.Equal(t, len(owner.jobs), 0, "the job is cancelled where it is")
		}
		assert.Equal(t, router.Show(t.Context(), callArgs("a1", "other")).Outcome, wire.JobOutcomeNoSuchJob)
	}
}

// TestJobIsNotDeniedWhileAPoolCannotAnswer guards against "no such job" for a job whose pool can't be asked: the cell
// that doesn't answer may have it.
func TestJobIsNotDeniedWhileAPoolCannotAnswer(t *testing.T) {
	for _, failure := range []wire.JobReply{
		{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500},
		{Outcome: wire.JobOutcomeUnknown, Reason: "no reply"},
	} {
		cells := newFakeCells(1, "other", "third")
		cells.owners["third"].failure = failure
		router := newTestRouter(cells)
		assert.Equal(t, router.Show(t.Context(), callArgs("a1", "pool")).Outcome, failure.Outcome)
		assert.Equal(t, router.Cancel(t.Context(), callArgs("a1", "pool")).Outcome, failure.Outcome)
		cells.owners["other"].jobs["a1"] = true
		assert.Equal(t, router.Show(t.Context(), callArgs("a1", "pool")).State, wire.JobStateRunning, "another pool has the job")
	}
	cells := newFakeCells(1, "other")
	delete(cells.owners, "other")
	reply := newTestRouter(cells).Cancel(t.Context(), callArgs("a1", "pool"))
	assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused, "the other pool's cell has no owner")
	assert.Assert(t, reply.RetryAfterMs > 0)
}

// TestCancelOfAnUnknownJobReachesAllPools guards against a submission that arrives after the cancellation, at a node
// whose configuration leads the queue to another pool: only a cell that was asked to cancel the job refuses it.
func TestCancelOfAnUnknownJobReachesAllPools(t *testing.T) {
	cells := newFakeCells(1, "other", "third")
	assert.Equal(t, newTestRouter(cells).Cancel(t.Context(), callArgs("a1", "pool")).Outcome, wire.JobOutcomeNoSuchJob)
	for cell, owner := range cells.owners {
		assert.Equal(t, owner.lookups.Load(), int64(1), cell)
	}
}

// TestJobInItsPoolIsNotSoughtElsewhere guards against a call to each pool for each call on a job.
func TestJobInItsPoolIsNotSoughtElsewhere(t *testing.T) {
	cells := newFakeCells(1, "other")
	router := newTestRouter(cells)
	router.Submit(t.Context(), submitArgs("a1", false))
	opened := cells.owners["other"].lookups.Load()
	assert.Equal(t, opened, int64(1), "the first job of an address is sought in all pools")
	router.Submit(t.Context(), submitArgs("a1", false))
	router.Show(t.Context(), callArgs("a1", "pool"))
	router.Cancel(t.Context(), callArgs("a1", "pool"))
	assert.Equal(t, cells.owners["other"].lookups.Load(), opened)
}

// TestPublicCallSeesNoJobOfACustomerInAnotherPool guards against a call without a key that finds the jobs of all
// customers in all pools because its own queue is public.
func TestPublicCallSeesNoJobOfACustomerInAnotherPool(t *testing.T) {
	cells := newFakeCells(1, "other")
	args := callArgs("a1", "pool")
	args.Public = true
	newTestRouter(cells).Show(t.Context(), args)
	assert.Assert(t, cells.owners["pool"].lastArgs.Load().Public)
	assert.Assert(t, !cells.owners["other"].lastArgs.Load().Public)
}

// TestOneLineForAJobThatNoPoolHas guards against a line for each pool that is asked.
func TestOneLineForAJobThatNoPoolHas(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	router := New(Deps{Cells: newFakeCells(4, "other", "third"), Clock: clockwork.NewRealClock(), Metrics: metrics.New(), Logger: logger})
	router.Show(t.Context(), callArgs("a1", "pool"))
	assert.Equal(t, len(hook.AllEntries()), 1)
	assert.Equal(t, hook.LastEntry().Message, "owner has no such job")
	assert.Equal(t, hook.LastEntry().Data["pools"], 3)
}
