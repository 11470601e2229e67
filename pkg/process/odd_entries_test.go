package process

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// putOddEntries writes odd entries beside those of the endpoints, and odd rows beside those of the boxes.
func (c *testCluster) putOddEntries() {
	nested, large := strings.Repeat("[", 30_000)+strings.Repeat("]", 30_000), strings.Repeat("x", 1_000_000)
	const valid = `{"service":"runs","address":"127.0.0.1:1","zone":"zone","state":"ready","machine":"m-odd","born":1764747474000,"capacity":{"cpu":`
	for key, value := range map[string]string{
		"": large, "i-\xff": large, "\xff": large, "i-0": large, "i-nested": `{"service":` + nested + `}`, "i-number": valid + strings.Repeat("9", 100_000) + `}}`,
		"i-sum": valid + `9223372036854775807}}`, "i-other-sum": valid + `9223372036854775807}}`, "i-port": `{"service":"runs","address":"127.0.0.1:99999"}`,
		strings.Repeat("i", 255): valid + `8000}}`, "i-nul": "\x00",
	} {
		c.platform.PutRegistration(key, value)
	}
	for _, row := range []string{`7`, `{"machine":{"name":"m"},"id":7}`, `{"machine":"m-odd","pool":"runs","state":"up","capacity":{"cpu":1e999}}`} {
		c.platform.AddBoxRow(row)
	}
}

// TestOddEntriesOfAnotherWriterStopNothing guards against odd entries among those of the endpoints and rows of the boxes
// that end the processes, keep them from their jobs or stop the planning, also when all nodes start again.
func TestOddEntriesOfAnotherWriterStopNothing(t *testing.T) {
	c := newCluster(t, 0)
	c.logger = logrus.New()
	c.logger.SetLevel(logrus.PanicLevel) // Each node logs each odd entry once.
	c.putOddEntries()
	for index := range 2 {
		c.startNode(index)
	}
	box := c.platform.Boxes()[0]
	for number, fault := range []standin.StoreFault{standin.FaultNone, standin.FaultSilent} {
		c.submit(jobID(number), standin.Work{Ms: 300}, standin.Phase{Count: 4, MilliCPU: 500, EstimatedMs: 300})
		c.platform.SetStoreFault(fault)
		for index := range c.nodes {
			c.killNode(index)
		}
		for index := range c.nodes {
			c.startNode(index)
		}
		c.platform.SetStoreFault(standin.FaultNone)
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
	assert.NilError(t, c.platform.PutWave(1, []string{box}, 5*time.Second, 1))
	c.waitUntil("the wave is completed", func() bool { return strings.Contains(c.platform.StatusRecord("wave/1"), "completed") })
}

// TestNodesThatAskOthersForEndpointsRunJobs guards against pools of a fleet with many of them that get no endpoints: from 17
// cells on, most nodes learn theirs from the lists of other nodes, here beside odd entries.
func TestNodesThatAskOthersForEndpointsRunJobs(t *testing.T) {
	const nodes, pools = 5, 18
	options := platformOptions()
	options.Pools = []standin.Pool{{Name: "spare", Boxes: 1, PoweredOff: true}}
	queues := []standin.Queue{}
	for number := range pools {
		name := fmt.Sprintf("pool-%d", number)
		options.Pools = append(options.Pools, standin.Pool{Name: name, Boxes: 1})
		queues = append(queues, standin.Queue{Name: name, Host: testHost, PathPrefix: "/" + name + "/", Pool: name, MaxAttempts: 3})
	}
	c := newClusterWithOptions(t, 0, options)
	c.logger = logrus.New()
	c.logger.SetLevel(logrus.PanicLevel)
	assert.NilError(t, c.platform.PutConfiguration(2, queues...))
	c.putOddEntries()
	for index := range nodes {
		c.startNode(index)
	}
	c.waitUntil("a node has received endpoints from another", func() bool {
		return slices.ContainsFunc(c.nodes, func(n *Node) bool { return n.Metrics.Count("directory_endpoints_received") > 0 })
	})
	for number, queue := range queues {
		path := queue.PathPrefix + jobID(number)
		c.waitUntil(path+" is accepted", func() bool {
			status, err := c.client.Submit(t.Context(), c.clientAddress(number), testHost, path, standin.Work{Ms: 20}, standin.Phase{Count: 1, MilliCPU: 500, EstimatedMs: 20})
			return err == nil && status == http.StatusOK
		})
		c.waitUntil(path+" is completed", func() bool {
			_, state, err := c.client.State(t.Context(), c.clientAddress(number), testHost, path)
			return err == nil && state == "completed"
		})
	}
}
