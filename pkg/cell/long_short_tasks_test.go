package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestBoxIsAskedForBesideShortTasksThatLast guards against a long-running task that waits for over 6 s behind short
// tasks, because the cell counts on their endpoints however late they end. A box takes some 2 s to come.
func TestBoxIsAskedForBesideShortTasksThatLast(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	c.submit("first", "short", wire.Phase{Count: 4, Cpu: 2000, MemoryMb: 500, EstimateMs: 12_000})
	c.runFor(100 * time.Millisecond)
	c.submit("first", "lasts", usualPhase())
	for range 4 {
		c.runFor(time.Second)
		if c.cell.Report(c.now).MissingBoxes > 0 {
			return
		}
	}
	assert.Assert(t, c.hasStarted("lasts", 0), "no box is asked for: %v", c.cell.Explain("lasts"))
}
