package intake

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// redirectedArgs returns the arguments with which a client submits a job once another configuration leads the address to a
// pool.
func redirectedArgs(id, pool string, version int, longRunning bool) wire.JobArgs {
	args := submitArgs(id, longRunning)
	args.Queue, args.Pool, args.ConfigVersion = "queue-of-"+pool, pool, version
	return args
}

// TestJobSentAgainIsAcceptedOnceAfterItsQueueChanged guards against a second run of a job whose client sends it again
// after its address was led to another pool, by a queue of another name, and to a node that was started since.
func TestJobSentAgainIsAcceptedOnceAfterItsQueueChanged(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		cells := newFakeCells(4, "present", "third")
		assert.Equal(t, newTestRouter(cells).Submit(t.Context(), submitArgs("a1", longRunning)).Outcome, wire.JobOutcomeAccepted)
		for _, id := range []string{"a1", "b2", "b2", "a1"} {
			args := redirectedArgs(id, "present", 2, longRunning)
			assert.Equal(t, newTestRouter(cells).Submit(t.Context(), args).Outcome, wire.JobOutcomeAccepted)
		}
		for _, id := range []string{"a1", "b2"} {
			args := redirectedArgs(id, "third", 5, longRunning)
			assert.Equal(t, newTestRouter(cells).Submit(t.Context(), args).Outcome, wire.JobOutcomeAccepted)
		}
		for _, id := range []string{"a1", "b2", "c3"} {
			args := redirectedArgs(id, "pool", 6, longRunning)
			assert.Equal(t, newTestRouter(cells).Submit(t.Context(), args).Outcome, wire.JobOutcomeAccepted)
		}
		holders := map[string][]string{"pool": {"a1", "c3"}, "present": {"b2"}, "third": {}}
		for pool, jobs := range holders {
			held := 0
			for _, cell := range cells.layout.CellNames(pool) {
				held += len(cells.owners[cell].jobs)
			}
			assert.Equal(t, held, len(jobs), "jobs of %s", pool)
			for _, id := range jobs {
				cell := argsForCell(wire.JobArgs{}, pool, submissionShard(submitArgs(id, longRunning), pool, cells.layout)).Cell
				assert.Assert(t, cells.owners[cell].jobs[id], "%s in %s", id, cell)
			}
		}
	}
}

// TestOtherPoolsAreAskedOnlyForTheFirstJobOfAnAddress guards against calls to all pools for each job.
func TestOtherPoolsAreAskedOnlyForTheFirstJobOfAnAddress(t *testing.T) {
	cells := newFakeCells(1, "other", "third")
	router := newTestRouter(cells)
	for _, id := range []string{"a1", "b2", "c3", "d4"} {
		assert.Equal(t, router.Submit(t.Context(), submitArgs(id, false)).Outcome, wire.JobOutcomeAccepted)
	}
	assert.Equal(t, cells.owners["other"].lookups.Load(), int64(1))
	assert.Equal(t, cells.owners["third"].lookups.Load(), int64(1))
	assert.Equal(t, cells.owners["pool"].lookups.Load(), int64(0))
}

// TestNodeWithAnOlderConfigurationSubmitsNothing guards against a job that is accepted a second time by a node which was
// frozen or cut off and has the configuration of before, whether it is older by one version or by two.
func TestNodeWithAnOlderConfigurationSubmitsNothing(t *testing.T) {
	cells := newFakeCells(1, "present", "third")
	assert.Equal(t, newTestRouter(cells).Submit(t.Context(), redirectedArgs("a1", "present", 3, false)).Outcome, wire.JobOutcomeAccepted)
	for version, pool := range map[int]string{1: "third", 2: "pool"} {
		for _, id := range []string{"b2", "a1"} {
			reply := newTestRouter(cells).Submit(t.Context(), redirectedArgs(id, pool, version, false))
			assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused)
			assert.Assert(t, reply.RetryAfterMs > 0)
		}
		assert.Equal(t, len(cells.owners[pool].jobs), 0)
	}
}

// TestNewJobWaitsForTheAnswerOfTheFormerPool guards against a job that is accepted a second time because its queue's
// former pool can't say whether it has it.
func TestNewJobWaitsForTheAnswerOfTheFormerPool(t *testing.T) {
	cells := newFakeCells(1, "former")
	cells.owners["former"].failure = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	reply := newTestRouter(cells).Submit(t.Context(), submitArgs("a1", false))
	assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused)
	assert.Assert(t, reply.RetryAfterMs > 0)
	assert.Equal(t, len(cells.owners["pool"].jobs), 0)
}

// TestJobIsNotRefusedAfterALostReply guards against a job that runs although its client was told that it never will: the
// first attempt may still be carried out.
func TestJobIsNotRefusedAfterALostReply(t *testing.T) {
	cells := newFakeCells(1, "former")
	cells.owners["pool"].losesReply = true
	cells.owners["former"].failure = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "busy", RetryAfterMs: 500}
	reply := newTestRouter(cells).Submit(t.Context(), submitArgs("a1", false))
	assert.Equal(t, reply.Outcome, wire.JobOutcomeUnknown)
}
