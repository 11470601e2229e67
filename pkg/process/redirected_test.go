package process

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
	"damsonwinch/platform/standin"
)

// redirect writes a configuration that leads the queue payslips to the pool "quotes" in place of "runs", and waits until
// it is in force on all nodes.
func (c *testCluster) redirect(version int) {
	c.t.Helper()
	redirected := payslips
	redirected.Pool = "quotes"
	assert.NilError(c.t, c.platform.PutConfiguration(version, redirected, notices))
	c.waitUntil("the configuration is in force on all nodes", func() bool {
		for number := range c.nodes {
			if status, _ := c.callNode(number, c.client, http.MethodGet, notices.PathPrefix); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestJobsAreFoundAfterTheirQueueHasAnotherPool changes the pool of a queue while jobs run. It guards against "no
// such job" for jobs that the former pool has accepted and runs.
func TestJobsAreFoundAfterTheirQueueHasAnotherPool(t *testing.T) {
	c := newCluster(t, 3)
	long := standin.Phase{Count: 1, MilliCPU: 1000, LongRunning: true}
	for number := range 2 {
		c.submit(jobID(number), standin.Work{}, long)
		c.waitUntil("the job runs", func() bool { return len(c.platform.CountRuns(jobID(number))) == 1 })
	}
	c.redirect(2)
	for number := range c.nodes {
		status, body := c.callNode(number, c.client, http.MethodGet, testPrefix+jobID(0))
		assert.Equal(t, status, http.StatusOK, body)
	}
	status, body := c.callNode(1, c.client, http.MethodDelete, testPrefix+jobID(1))
	assert.Equal(t, status, http.StatusOK, body)
	c.waitUntil("no task of the cancelled job runs", func() bool { return len(c.platform.CountRuns(jobID(1))) == 0 })
	assert.Equal(t, len(c.platform.CountRuns(jobID(0))), 1, "the other job runs on")
	status, body = c.callNode(2, c.client, http.MethodGet, testPrefix+jobID(9))
	assert.Equal(t, status, http.StatusGone, body)
}

// TestNodeWithAnOlderConfigurationSubmitsNothingToAFormerPool submits jobs as nodes do that still have the configuration
// before the queue's pool changed. It guards against a job that the former pool accepts while the present one accepts it
// too, whether the owner of the former pool's cell is on the submitting node or another one.
func TestNodeWithAnOlderConfigurationSubmitsNothingToAFormerPool(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 1, MilliCPU: 1000, LongRunning: true})
	c.redirect(2)
	for number, node := range c.nodes {
		args := wire.JobArgs{
			Queue: payslips.Name, Pool: "runs", Id: jobID(1 + number), ConfigVersion: 1,
			Spec: &wire.JobSpec{Text: "{}", Phases: []wire.Phase{{Count: 1, Cpu: 1000, EstimateMs: 50}}},
		}
		reply := node.node.JobService().Submit(t.Context(), args)
		assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused, reply.Reason)
		assert.Assert(t, reply.RetryAfterMs > 0)
		args.Id, args.Spec = jobID(0), nil
		reply = node.node.JobService().Show(t.Context(), args)
		assert.Equal(t, reply.State, wire.JobStateRunning, "a job of the former pool is shown")
	}
}

// TestJobSentAgainAfterItsQueueChangedRunsOnce sends a job again after the pool of its queue has changed. It guards
// against a second copy of the job that runs in the new pool beside the first one.
func TestJobSentAgainAfterItsQueueChangedRunsOnce(t *testing.T) {
	c := newCluster(t, 3)
	long := standin.Phase{Count: 1, MilliCPU: 1000, LongRunning: true}
	short := standin.Phase{Count: 1, MilliCPU: 1000, EstimatedMs: 50}
	c.submit(jobID(0), standin.Work{}, long)
	c.submit(jobID(1), standin.Work{Ms: 50}, short)
	c.waitUntil("the first job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 1 })
	c.waitUntil("the second job is completed", func() bool { return c.jobState(jobID(1)) == "completed" })
	c.redirect(2)
	for number := range c.nodes {
		assert.Equal(t, c.submitOnce(number, c.client, jobID(0), long), http.StatusOK)
		assert.Equal(t, c.submitOnce(number, c.client, jobID(1), short), http.StatusOK)
	}
	c.submit(jobID(2), standin.Work{Ms: 50}, short)
	c.submit(jobID(3), standin.Work{}, long)
	c.waitUntil("a new job is completed in the new pool", func() bool { return c.jobState(jobID(2)) == "completed" })
	c.waitUntil("a new long-running job runs in the new pool", func() bool { return len(c.platform.CountRuns(jobID(3))) == 1 })
	assert.DeepEqual(t, c.platform.CountStarts(jobID(0)), map[string]int{jobID(0) + ".0.0.0": 1})
	assert.DeepEqual(t, c.platform.CountStarts(jobID(1)), map[string]int{jobID(1) + ".0.0.0": 1})
}

// TestLateSubmissionToAnotherPoolIsRefusedAfterItsCancel cancels a job that no cell has, and then submits it as a node
// does whose configuration leads the queue to another pool. It guards against a job that runs after its cancel because
// only the cells of the cancelling node's pool were told.
func TestLateSubmissionToAnotherPoolIsRefusedAfterItsCancel(t *testing.T) {
	c := newCluster(t, 3)
	c.submit(jobID(0), standin.Work{Ms: 50}, standin.Phase{Count: 1, MilliCPU: 1000, EstimatedMs: 50})
	for number, longRunning := range []bool{false, true} {
		args := wire.JobArgs{
			Queue: payslips.Name, Pool: "quotes", Id: jobID(1 + number), ConfigVersion: 2,
			Spec: &wire.JobSpec{Text: "{}", Phases: []wire.Phase{{Count: 1, Cpu: 1000, EstimateMs: 50, Lasting: longRunning}}},
		}
		status, body := c.callNode(0, c.client, http.MethodDelete, testPrefix+args.Id)
		assert.Equal(t, status, http.StatusGone, body)
		reply := c.nodes[1].node.JobService().Submit(t.Context(), args)
		assert.Equal(t, reply.Outcome, wire.JobOutcomeRefused, reply.Reason)
	}
}

// TestPendingIncludesTheJobsOfTheFormerPool changes the pool of a queue while jobs wait. It guards against a number of
// pending jobs that leaves them out.
func TestPendingIncludesTheJobsOfTheFormerPool(t *testing.T) {
	c := newCluster(t, 3)
	for number := range 3 {
		c.submit(jobID(number), standin.Work{}, standin.Phase{Count: 1, MilliCPU: 10_000_000, LongRunning: true})
	}
	pending := func(number int) string {
		_, body := c.callNode(number, c.client, http.MethodGet, testPrefix)
		return body
	}
	c.waitUntil("the jobs are pending", func() bool { return pending(0) == `{"pending":3}` })
	c.redirect(2)
	for number := range c.nodes {
		assert.Equal(t, pending(number), `{"pending":3}`)
	}
}
