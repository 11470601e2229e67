package cell_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestSlowBoxListEndsNoLaterEndpoint guards against a second run of a task whose endpoint started while a list of
// boxes was read, which doesn't have it.
func TestSlowBoxListEndsNoLaterEndpoint(t *testing.T) {
	w := newMixedWorld(1, mutation{})
	w.boxCount, w.resetsOnExit, w.mixed.boxListTime = 2, true, 2*time.Second
	w.setUpMixed()
	// Each task needs a box of its own.
	behaviour := taskBehaviour{need: damsonwinch.Resources{MilliCPU: 200, MemoryMB: 1000}, longRunning: true}
	w.addClient("service", simSpec(wire.Phase{Count: 2, Cpu: 200, MemoryMb: 1000, EstimateMs: 300, Lasting: true, MostPerBox: 1}), behaviour)
	const exitAt = time.Second
	w.after(exitAt, func() { w.endpoints[1].exit() })
	// The list of boxes is requested at once. It says that nothing runs on box-1, which is so until a later life
	// starts there and gets the task.
	w.after(exitAt+1200*time.Millisecond, func() { w.addEndpoint("box-1") })
	w.after(exitAt+1600*time.Millisecond, func() { w.mixed.begin(cutOff+"box-1", 5*time.Second) })
	w.after(exitAt+1800*time.Millisecond, func() { w.addEndpoint("box-2") })
	w.run(w.now.Add(exitAt + 5*time.Second))
	assert.Equal(t, w.rules.violation, "", strings.Join(w.log, "\n"))
}
