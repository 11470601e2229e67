package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestRefusedTaskIsTriedOnAllEndpoints guards against a task that waits without end beside idle endpoints that would accept
// it: it is tried again and again on the same few that refuse it.
func TestRefusedTaskIsTriedOnAllEndpoints(t *testing.T) {
	short := wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, EstimateMs: 300}
	for name, test := range map[string]struct {
		phase   wire.Phase
		refusal error
	}{
		"long-running":              {usualPhase(), damsonwinch.ErrNoCapacity},
		"short":                     {short, damsonwinch.ErrNoCapacity},
		"endpoints of two versions": {short, damsonwinch.ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrowdedCell(t, "a", "b", "c", "d", "e", "f", "g")
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				c.faults.refusals[id] = test.refusal
			}
			c.submit("first", "refused", test.phase)
			c.runFor(5 * time.Second)
			assert.Assert(t, c.hasStarted("refused", 0), "%v", c.cell.Explain("refused"))
			assert.Equal(t, c.cell.Report(c.now).MissingBoxes, 0, "two endpoints accept tasks")
		})
	}
}

// TestRefusedSuspectIsTriedOnAllEndpoints guards against the same for a task that starts on probation, since its endpoint
// has exited under it.
func TestRefusedSuspectIsTriedOnAllEndpoints(t *testing.T) {
	c := newCrowdedCell(t, "a", "b", "c", "d", "e", "f", "g", "h")
	c.submit("first", "refused", wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, EstimateMs: 3000})
	c.runFor(100 * time.Millisecond)
	task := damsonwinch.TaskID{Job: "refused"}
	lost := c.startedOn[task]
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		c.faults.refusals[id] = damsonwinch.ErrNoCapacity
	}
	c.exit(lost.ID)
	c.runFor(6 * time.Second)
	assert.Assert(t, c.startedOn[task] != lost, "%v", c.cell.Explain("refused"))
}

// TestNoBoxIsAskedForWhereATaskIsInvalid guards against a cell that asks for boxes because no endpoint accepts a task that is
// invalid.
func TestNoBoxIsAskedForWhereATaskIsInvalid(t *testing.T) {
	ids := []string{"a", "b", "c"}
	c := newCrowdedCell(t, ids...)
	for _, id := range ids {
		c.faults.refusals[id] = damsonwinch.ErrInvalid
	}
	c.submit("first", "invalid", usualPhase())
	for range 100 {
		c.runFor(100 * time.Millisecond)
		assert.Equal(t, c.cell.Report(c.now).MissingBoxes, 0)
	}
}
