package fillerspeed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fillerspeed"
)

// TestSpeedFollowsTailLatency guards against filler tasks that keep serving tasks above their target,
// and against speeds that are changed again before the effect of the last change shows.
func TestSpeedFollowsTailLatency(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var c fillerspeed.Controller
	assert.Equal(t, c.Observe(now, 90), fillerspeed.SlowDown)
	c.Changed(now)
	assert.Equal(t, c.Observe(now.Add(500*time.Millisecond), 90), fillerspeed.None, "the effect of the change doesn't show yet")
	assert.Equal(t, c.Observe(now.Add(700*time.Millisecond), 90), fillerspeed.SlowDown)
	assert.Equal(t, c.Observe(now.Add(time.Second), 50), fillerspeed.None)
	assert.Equal(t, c.Observe(now.Add(2400*time.Millisecond), 50), fillerspeed.None)
	assert.Equal(t, c.Observe(now.Add(2500*time.Millisecond), 50), fillerspeed.SpeedUp)
	assert.Equal(t, c.Observe(now.Add(2600*time.Millisecond), 70), fillerspeed.None)
	assert.Equal(t, c.Observe(now.Add(2700*time.Millisecond), 50), fillerspeed.None, "the latency has not been low for long")
}

// TestSlowTaskIsPaused guards against filler tasks that are never paused, however slow they are.
func TestSlowTaskIsPaused(t *testing.T) {
	assert.Equal(t, fillerspeed.SlowDown.Apply(100), 40)
	assert.Equal(t, fillerspeed.SlowDown.Apply(40), 16)
	assert.Equal(t, fillerspeed.SlowDown.Apply(16), 0)
	assert.Equal(t, fillerspeed.SpeedUp.Apply(0), 15)
	assert.Equal(t, fillerspeed.SpeedUp.Apply(90), 100)
}
