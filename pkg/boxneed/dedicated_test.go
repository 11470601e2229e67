package boxneed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxneed"
)

// TestDedicatedBoxes guards against a task that waits forever because one box has the CPU for it beside its
// long-running tasks, another one the memory, and none has both.
func TestDedicatedBoxes(t *testing.T) {
	capacity := damsonwinch.Resources{MilliCPU: 8000, MemoryMB: 8000}
	var dedicated boxneed.Dedicated
	dedicated.AddBox(capacity, damsonwinch.Resources{})
	assert.Equal(t, dedicated.MilliBoxes(damsonwinch.Resources{MilliCPU: 9000}, 1), 0, "no box has a long-running task")
	dedicated.AddBox(capacity, damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 500})
	dedicated.AddBox(capacity, damsonwinch.Resources{MilliCPU: 500, MemoryMB: 7600})
	dedicated.AddBox(capacity, damsonwinch.Resources{MilliCPU: 5000, MemoryMB: 7800})
	assert.Equal(t, dedicated.Hosts(), 3)
	assert.Equal(t, dedicated.MilliBoxes(damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 7500}, 3), 0, "they fit beside the first task")
	assert.Equal(t, dedicated.MilliBoxes(damsonwinch.Resources{MilliCPU: 5000, MemoryMB: 1000}, 1), 1000)
	assert.Equal(t, dedicated.MilliBoxes(damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 7600}, 3), 3000)
	assert.Equal(t, dedicated.MilliBoxes(damsonwinch.Resources{MilliCPU: 1000, MemoryMB: 7600}, 1), 1000)
}
