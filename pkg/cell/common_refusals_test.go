package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestLongRunningTaskStartsSoonAfterAllEndpointsRefused guards against a long-running task that waits beside idle
// endpoints although they accept starts again: each of them counts as one that refuses starts, so that nothing is
// tried anywhere. The longest backoff of a task is 2 s.
func TestLongRunningTaskStartsSoonAfterAllEndpointsRefused(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	c := newCrowdedCell(t, ids...)
	for _, id := range ids {
		c.faults.refusals[id] = damsonwinch.ErrUnhealthy
	}
	c.submit("first", "lasts", wire.Phase{Count: 4, Cpu: 1000, MemoryMb: 500, EstimateMs: 300, Lasting: true, MostPerBox: 1})
	c.runFor(5 * time.Second)
	assert.Assert(t, c.cell.Report(c.now).MissingBoxes <= 1, "another box may refuse as well")
	for _, id := range ids {
		c.faults.refusals[id] = nil
	}
	c.runFor(2100 * time.Millisecond)
	for index := range 4 {
		assert.Assert(t, c.hasStarted("lasts", index), "task %d: %v", index, c.cell.Explain("lasts"))
	}
}
