package process

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// evacuationBoundMs is the time after which no task may start in an evacuated zone.
const evacuationBoundMs = 2000

// newClusterOfTwoZones starts a cluster whose boxes are in the zones north and south in turn.
func newClusterOfTwoZones(t *testing.T) *testCluster {
	options := platformOptions()
	options.Zones = []string{"north", "south"}
	options.Pools = []standin.Pool{{Name: "runs", Boxes: 4}, {Name: "spare", Boxes: 2, PoweredOff: true}}
	return newClusterWithOptions(t, 3, options)
}

// runJobs submits jobs of four tasks and waits until they are completed.
func (c *testCluster) runJobs(first, count int) {
	c.t.Helper()
	for number := first; number < first+count; number++ {
		c.submit(jobID(number), standin.Work{Ms: 100}, standin.Phase{Count: 4, MilliCPU: 1500, EstimatedMs: 100})
	}
	for number := first; number < first+count; number++ {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
}

// TestEvacuatedZoneGetsNoTasks evacuates a zone while jobs arrive. From the bound on no task starts there,
// also none after the owner was killed, the store was silent and its history has expired. A long-running
// task leaves the zone. When the operator takes the zone back, tasks start there again.
func TestEvacuatedZoneGetsNoTasks(t *testing.T) {
	c := newClusterOfTwoZones(t)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 4, MilliCPU: 500, LongRunning: true, MaxMissing: 1, MaxPerBox: 2})
	c.waitUntil("the long-running job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 4 })
	c.waitUntil("tasks start in the north", func() bool {
		c.runJobs(int(c.platform.CountStartsInZone("south"))+100, 6)
		return c.platform.CountStartsInZone("north") > 0
	})

	c.platform.PutOperatorRecord("evacuate/north", "{}")
	c.platform.PutOperatorRecord("evacuate/nowhere", "{}")
	clockwork.NewRealClock().Sleep(evacuationBoundMs * time.Millisecond)
	evacuated := c.platform.CountStartsInZone("north")
	c.runJobs(1000, 8)
	c.waitUntil("nothing runs in the north", func() bool { return c.platform.CountRunsInZone("north") == 0 })
	c.waitUntil("the long-running job runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 4 })
	c.platform.ExpireHistory()
	c.platform.SetStoreFault(standin.FaultSilent)
	clockwork.NewRealClock().Sleep(time.Second)
	c.platform.SetStoreFault(standin.FaultNone)
	c.killNode(c.cellOwner("runs"))
	c.runJobs(2000, 8)
	assert.Equal(t, c.platform.CountStartsInZone("north"), evacuated, "tasks started in the evacuated zone")

	c.platform.PutOperatorRecord("evacuate/north", "")
	number := 3000
	c.waitUntil("tasks start in the north again", func() bool {
		c.runJobs(number, 8)
		number += 8
		return c.platform.CountStartsInZone("north") > evacuated
	})
}
