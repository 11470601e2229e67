package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// quotes is a queue whose pool is not that of payslips.
var quotes = standin.Queue{Name: "quotes", Host: testHost, PathPrefix: "/quotes/", Pool: "quotes", MaxAttempts: 3}

// setBakeryCap writes a configuration in which the bakery's running tasks may use the given number of
// thousandths of a core, and those of the mill have no limit.
func (c *testCluster) setBakeryCap(version, milliCPU int) {
	c.t.Helper()
	c.platform.SetCustomers(
		standin.Customer{Name: "bakery", Keys: []string{bakeryKey}, MaxMilliCPU: milliCPU}, standin.Customer{Name: "mill", Keys: []string{millKey}},
	)
	assert.NilError(c.t, c.platform.PutConfiguration(version, payslips, quotes))
}

// submitTwoTasks submits a job of two tasks, each of one core, to the queue with the given path prefix
// until the job is accepted. The platform counts its runs as the given customer's.
func (c *testCluster) submitTwoTasks(client *standin.Client, prefix, id, customer string) {
	c.t.Helper()
	try := 0
	c.waitUntil("job "+id+" is accepted", func() bool {
		try++
		status, err := client.Submit(c.t.Context(), c.clientAddress(try), testHost, prefix+id, standin.Work{Ms: 150, Customer: customer}, standin.Phase{Count: 2, MilliCPU: 1000, EstimatedMs: 150})
		return err == nil && status == 200
	})
}

// isCompleted reports whether the job with the given ID is completed. The prefix is the path prefix of
// its queue.
func (c *testCluster) isCompleted(client *standin.Client, prefix, id string) bool {
	_, state, err := client.State(c.t.Context(), c.clientAddress(0), testHost, prefix+id)
	return err == nil && state == "completed"
}

// plannerNode returns the index of the node that plans for the fleet and allocates the caps.
func (c *testCluster) plannerNode() int {
	c.t.Helper()
	found := -1
	c.waitUntil("a node plans for the fleet", func() bool {
		for number, node := range c.nodes {
			if claim := node.node.View().Claims["@fleet"]; !c.closed[number] && claim.Node == c.configs[number].Node {
				found = number
			}
		}
		return found >= 0
	})
	return found
}

// TestCustomerStaysUnderItsCap gives a customer work in two pools whose owners share no state. It kills
// the node that allocates the customer's cap, and then an owner. The customer never exceeds its cap
// and uses all of it, and another customer is not delayed. After the cap is raised, the customer uses
// all of the new one. A lowered cap applies to all tasks that start from then on.
func TestCustomerStaysUnderItsCap(t *testing.T) {
	c := newCluster(t, 3)
	bakery, mill := c.client.WithKey(bakeryKey), c.client.WithKey(millKey)
	const capCores, jobs = 3, 24
	c.setBakeryCap(2, capCores*1000)
	submitJobs := func(first int) {
		for number := first; number < first+jobs; number++ {
			prefix := []string{testPrefix, quotes.PathPrefix}[number%2]
			c.submitTwoTasks(bakery, prefix, jobID(number), "bakery")
		}
	}
	awaitJobs := func(first int) {
		for number := first; number < first+jobs; number++ {
			prefix := []string{testPrefix, quotes.PathPrefix}[number%2]
			c.waitUntil(fmt.Sprintf("job %d is completed", number), func() bool { return c.isCompleted(bakery, prefix, jobID(number)) })
		}
	}
	submitJobs(0)
	c.submitTwoTasks(mill, testPrefix, jobID(1000), "mill")
	c.waitUntil("the mill's job is completed", func() bool { return c.isCompleted(mill, testPrefix, jobID(1000)) })
	c.killNode(c.plannerNode())
	clockwork.NewRealClock().Sleep(300 * time.Millisecond)
	if owner := c.cellOwner("runs"); owner >= 0 {
		c.killNode(owner)
	}
	awaitJobs(0)
	assert.Equal(t, c.platform.PeakRuns("bakery"), capCores)

	c.setBakeryCap(3, 2*capCores*1000)
	submitJobs(100)
	awaitJobs(100)
	assert.Equal(t, c.platform.PeakRuns("bakery"), 2*capCores)

	c.setBakeryCap(4, 1000)
	clockwork.NewRealClock().Sleep(2 * time.Second)
	c.platform.PeakRuns("bakery")
	submitJobs(200)
	awaitJobs(200)
	assert.Equal(t, c.platform.PeakRuns("bakery"), 1)
}
