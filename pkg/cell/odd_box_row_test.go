package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// TestEndpointOnBoxWithOddRowHasNotExited guards against a task that runs twice: a row of the list of boxes whose state or
// endpoint can't be read doesn't show that the endpoint, which is only out of reach, has exited.
func TestEndpointOnBoxWithOddRowHasNotExited(t *testing.T) {
	for _, row := range []struct {
		box  damsonwinch.Box
		lost int
	}{
		{damsonwinch.Box{Name: "m-1", EndpointID: reportedLife.ID, Problem: "the state isn't a text"}, 0},
		{damsonwinch.Box{Name: "m-1", State: damsonwinch.BoxUp, Problem: "the id isn't a text"}, 0},
		{damsonwinch.Box{Name: "m-1", State: damsonwinch.BoxUp}, 1},
		{damsonwinch.Box{Name: "m-1", State: damsonwinch.BoxDown, EndpointID: reportedLife.ID}, 1},
		{damsonwinch.Box{Name: "m-2", State: damsonwinch.BoxUp, Problem: "the id isn't a text"}, 1},
	} {
		l := newLoneEndpoint(t)
		l.cell.SetEndpoints(l.now, []damsonwinch.Endpoint{{Life: reportedLife, Address: "e1:1", Box: "m-1", Pool: "pool", Capacity: damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 4000}}})
		l.reachable = false
		l.runFor(2 * time.Second)
		l.cell.SetBoxes(l.now, l.now, []damsonwinch.Box{row.box})
		assert.Equal(t, l.cell.Stats().RunsLost, row.lost, "%+v", row.box)
	}
}
