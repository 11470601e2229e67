package process

import (
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestOddEntriesOfAnotherWriterStopNothing guards against odd entries among those of the endpoints and rows of the boxes
// that end the processes, keep them from their jobs or stop the planning, also when all nodes start again.
func TestOddEntriesOfAnotherWriterStopNothing(t *testing.T) {
	c := newCluster(t, 0)
	c.logger = logrus.New()
	c.logger.SetLevel(logrus.PanicLevel) // Each node logs each odd entry once.
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
