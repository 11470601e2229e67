package process

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// newClusterOfWeakNodes starts nodes with so little CPU that the pools are sharded into several cells.
func newClusterOfWeakNodes(t *testing.T, nodes int) *testCluster {
	c := newCluster(t, 0)
	c.coreShare = 0.004
	for number := range nodes {
		c.startNode(number)
	}
	return c
}

// TestPoolIsShardedIntoCells uses a pool with more work than one owner can manage. Its jobs are
// spread over several cells, and every node finds them. A long-running job runs on after an owner was
// killed.
func TestPoolIsShardedIntoCells(t *testing.T) {
	c := newClusterOfWeakNodes(t, 4)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MaxMissing: 1, MaxPerBox: 1})
	for number := 1; number <= 12; number++ {
		c.submit(jobID(number), standin.Work{Ms: 100}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 100}, standin.Phase{Count: 1, DependsOn: []int{0}})
	}
	first, second := c.cellOwner("runs"), c.cellOwner("runs@1")
	assert.Assert(t, first >= 0 && second >= 0 && first != second, "owners %d and %d", first, second)
	for number := 1; number <= 12; number++ {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
	c.waitUntil("the long-running job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 2 })

	c.killNode(first)
	c.waitUntil("another node owns the cell", func() bool { owner := c.cellOwner("runs"); return owner >= 0 && owner != first })
	c.waitUntil("the long-running job is reported as running", func() bool { return c.jobState(jobID(0)) == "running" })
	c.submit(jobID(50), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(50)) == "completed" })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	c.waitUntil("the long-running job is cancelled", func() bool {
		status, _, err := c.client.Do(ctx, http.MethodDelete, c.clientAddress(1), testHost, testPrefix+jobID(0), nil)
		return err == nil && status == http.StatusOK
	})
	c.waitUntil("no task of it runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 0 })
}

// TestLayoutSurvivesRestartOfAllNodes kills all nodes and starts them again with more CPU. They keep
// the original number of cells, although they would now choose fewer.
func TestLayoutSurvivesRestartOfAllNodes(t *testing.T) {
	c := newClusterOfWeakNodes(t, 4)
	for number := range 6 {
		c.submit(jobID(number), standin.Work{Ms: int((2 * time.Second).Milliseconds())}, standin.Phase{Count: 1, MilliCPU: 500, EstimatedMs: 2000})
	}
	for number := range c.nodes {
		c.killNode(number)
	}
	c.coreShare = 1
	for number := range c.nodes {
		c.startNode(number)
	}
	for number := range 6 {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
	assert.Assert(t, c.cellOwner("runs@1") >= 0, "the second cell has an owner")
}
