package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestRefusedTaskIsTriedOutsideItsHomeZone guards against a short task that waits without end beside idle endpoints of another
// zone that would accept it: those of its job's home zone refuse it in turn, and are not excluded for long enough for it to be
// tried elsewhere.
func TestRefusedTaskIsTriedOutsideItsHomeZone(t *testing.T) {
	for name, refusal := range map[string]error{"no capacity": damsonwinch.ErrNoCapacity, "endpoints of two versions": damsonwinch.ErrInvalid} {
		t.Run(name, func(t *testing.T) {
			c := newCrowdedCell(t, "a", "b", "c", "d", "e", "f", "g")
			for at := range c.listed {
				c.listed[at].Zone = "north"
				if at >= 5 {
					c.listed[at].Zone = "south"
				} else {
					c.faults.refusals[c.listed[at].Life.ID] = refusal
				}
			}
			c.cell.SetEndpoints(c.now, c.listed)
			c.submit("first", "refused", wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, EstimateMs: 300})
			c.runFor(60 * time.Second)
			assert.Assert(t, c.hasStarted("refused", 0), "%v", c.cell.Explain("refused"))
		})
	}
}
