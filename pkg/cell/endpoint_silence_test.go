package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// neverAnswers is a number of lost polls that no test reaches.
const neverAnswers = 1 << 30

// TestEndpointWithUnknownRunsCountsAsSilent guards against an endpoint that has exited and never counts as
// silent, since each of its polls is replaced before it times out.
func TestEndpointWithUnknownRunsCountsAsSilent(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	stray := damsonwinch.Run{Task: damsonwinch.TaskID{Job: "unknown"}, Attempt: 1}
	c.faults.strays["b"] = []damsonwinch.RunProgress{{Run: stray}}
	c.runFor(1100 * time.Millisecond)
	c.faults.losses["b"] = neverAnswers
	c.runFor(2 * time.Second)
	assert.Assert(t, c.cell.Report(c.now).Endpoints[1].Silent)
}
