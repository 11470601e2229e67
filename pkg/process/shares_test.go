package process

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestWeightsReachOwners guards against weights that are configured and not read: a customer that sends
// more than its weight is found to be over its share, and its jobs are completed all the same.
func TestWeightsReachOwners(t *testing.T) {
	c := newCluster(t, 2)
	bakery := c.client.WithKey(bakeryKey)
	c.platform.SetCustomers(standin.Customer{Name: "bakery", Keys: []string{bakeryKey}, Weight: 1})
	assert.NilError(t, c.platform.PutConfiguration(2, payslips, quotes))
	overShare := func() int {
		return c.nodes[0].Metrics.Count("jobs_over_share") + c.nodes[1].Metrics.Count("jobs_over_share")
	}
	jobs := 0
	c.waitUntil("a job is over its share", func() bool {
		c.submitTwoTasks(bakery, testPrefix, jobID(jobs), "bakery")
		jobs++
		return overShare() > 0
	})
	for number := range jobs {
		c.waitUntil("the job is completed", func() bool { return c.isCompleted(bakery, testPrefix, jobID(number)) })
	}
}
