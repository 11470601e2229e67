package soak

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestBoxHasOneLife guards against a stand-in that breaks the platform's contract: an endpoint that crashes again before
// its box is up left two lives on the box, of which its list of boxes shows one. Tasks of the other life then ran twice.
func TestBoxHasOneLife(t *testing.T) {
	platform, err := standin.New(standin.Options{
		Clock: clockwork.NewRealClock(), Pools: []standin.Pool{{Name: "runs", Boxes: 1}}, BoxMilliCPU: 1000, BoxMemoryMB: 1000,
		MaxLease: time.Second, StopTime: time.Millisecond, HeartbeatInterval: 20 * time.Millisecond,
	})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, platform.Close()) }()
	box := platform.Boxes()[0]
	platform.CrashEndpoint(box, 50*time.Millisecond)
	platform.CrashEndpoint(box, 150*time.Millisecond)
	clockwork.NewRealClock().Sleep(400 * time.Millisecond)
	assert.Equal(t, platform.LivesStarted(), 2, "the first life, and one after both crashes")
}
