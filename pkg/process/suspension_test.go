package process

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestSuspendedNodeReleasesItsCells checks that a node releases its cells after its machine was
// suspended, because another node may own them by then. No job may be lost.
func TestSuspendedNodeReleasesItsCells(t *testing.T) {
	c := newCluster(t, 2)
	c.submit(jobID(0), standin.Work{Ms: 800}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 800}, standin.Phase{Count: 1, DependsOn: []int{0}})
	c.waitUntil("the job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 2 })
	owner := c.cellOwner("runs")
	before := c.nodes[owner].Metrics.Count("suspensions")
	assert.Equal(t, before, 0)
	c.suspended[owner].Store(int64(5 * time.Second))
	c.waitUntil("the owner notices the suspension", func() bool { return c.nodes[owner].Metrics.Count("suspensions") == 1 })
	c.waitUntil("the cell has an owner again", func() bool { return c.cellOwner("runs") >= 0 && c.jobState(jobID(0)) != "" })
	c.submit(jobID(1), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	c.waitUntil("both jobs are completed", func() bool { return c.jobState(jobID(0)) == "completed" && c.jobState(jobID(1)) == "completed" })
	assert.Equal(t, c.nodes[owner].Metrics.Count("suspended_ms"), 5000)
}

// suspendedTime returns the function from which a node learns how long its machine has been suspended.
func (c *testCluster) suspendedTime(number int) func() time.Duration {
	for len(c.suspended) <= number {
		c.suspended = append(c.suspended, &atomic.Int64{})
	}
	suspended := c.suspended[number]
	return func() time.Duration { return time.Duration(suspended.Load()) }
}
