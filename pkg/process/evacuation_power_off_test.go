package process

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// plannerGauge returns a gauge of the node that plans for the fleet.
func (c *testCluster) plannerGauge(name string) int {
	return c.nodes[c.plannerNode()].Metrics.Count(name)
}

// TestEvacuatedZoneIsPoweredOffAndComesBack guards against a zone that is reported as clear while a task runs
// there, against boxes that stay powered on in a zone that is evacuated for long, also when the planner is killed
// meanwhile, and against boxes that don't come back.
func TestEvacuatedZoneIsPoweredOffAndComesBack(t *testing.T) {
	c := newClusterOfTwoZones(t)
	c.evacuationPowerOffS = 4
	for number := range c.nodes {
		c.killNode(number)
		c.startNode(number)
	}
	c.submit(jobID(0), standin.Work{Ms: 6000}, standin.Phase{Count: 4, MilliCPU: 4000, EstimatedMs: 6000})
	c.waitUntil("the job runs in the north", func() bool { return c.platform.CountRunsInZone("north") > 0 })
	c.platform.PutOperatorRecord("evacuate/north", "{}")
	c.waitUntil("the planner knows of the runs", func() bool { return c.plannerGauge("evacuated_runs") > 0 })
	assert.Equal(t, c.plannerGauge("evacuated_zones_clear"), 0)
	c.waitUntil("the zone is reported as clear", func() bool { return c.plannerGauge("evacuated_zones_clear") == 1 })
	assert.Equal(t, c.platform.CountRunsInZone("north"), 0, "runs in a zone that is reported as clear")

	c.killNode(c.plannerNode())
	c.waitUntil("the boxes of the north are powered off", func() bool {
		return c.plannerGauge("zones_evacuated") == 1 && c.plannerGauge("evacuated_boxes") == 0 && c.platform.CountBoxesUp("spare") >= 3
	})

	c.platform.PutOperatorRecord("evacuate/north", "")
	starts, number := c.platform.CountStartsInZone("north"), 1000
	c.waitUntil("tasks start in the north again", func() bool {
		c.runJobs(number, 8)
		number += 8
		return c.platform.CountStartsInZone("north") > starts
	})
}
