package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestBoxIsAskedForWhereManyEndpointsRefuse guards against a long-running task that waits without end and for which no box
// is asked for: it is tried on so many refusing endpoints in turn that each one's refusals are forgotten meanwhile.
func TestBoxIsAskedForWhereManyEndpointsRefuse(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	c := newCrowdedCell(t, ids...)
	c.submit("first", "fills-a", wire.Phase{Count: 1, Cpu: 4000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.runFor(time.Second)
	for _, id := range ids {
		if c.startedOn[damsonwinch.TaskID{Job: "fills-a"}].ID != id {
			c.faults.refusals[id] = damsonwinch.ErrNoCapacity
		}
	}
	c.submit("first", "lasts", usualPhase())
	for range 300 {
		c.runFor(100 * time.Millisecond)
		if c.cell.Report(c.now).MissingBoxes > 0 {
			return
		}
	}
	assert.Assert(t, c.hasStarted("lasts", 0), "no box is asked for in 30 s: %v", c.cell.Explain("lasts"))
}
