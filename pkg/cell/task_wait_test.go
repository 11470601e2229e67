package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestLongRunningTaskGetsAPermitBesideShortTasks guards against a long-running task that waits as long as short
// tasks come: without a permit no endpoint is reserved for it, and without capacity there no permit was asked for.
func TestLongRunningTaskGetsAPermitBesideShortTasks(t *testing.T) {
	c := newCrowdedCell(t, "a")
	c.cell.SetQueues(c.now, []damsonwinch.Queue{{Name: "second", Pool: "pool", Priority: 1, MaxAttempts: 3, DeadlineFactor: 20, TargetLatency: 20 * time.Second, Advice: &damsonwinch.AdviceTimes{PermitTTL: 2 * time.Second}}})
	c.submit("first", "short", wire.Phase{Count: 400, Cpu: 2000, MemoryMb: 500, EstimateMs: 300})
	c.runFor(100 * time.Millisecond)
	c.submit("second", "lasts", usualPhase())
	c.churn("a", 5*time.Second)
	assert.Assert(t, c.hasStarted("lasts", 0), "%v", c.cell.Explain("lasts"))
}
