package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// TestLookupInAnotherPoolWritesNoLine guards against a line for each pool of the fleet whenever a client asks for a job
// that doesn't exist. A lookup in the queue's own pool writes one.
func TestLookupInAnotherPoolWritesNoLine(t *testing.T) {
	for pool, want := range map[string]int{"pool": 2, "other": 0} {
		now := time.UnixMilli(1_700_000_000_000)
		c := cell.New(simOptions(mutation{}), 1)
		args := wire.JobArgs{Id: "job", Queue: "queue", Cell: "pool@3", Pool: pool}
		c.Query(now, args, 1)
		c.Cancel(now, args, 2)
		lines := 0
		for range 5 {
			now = now.Add(100 * time.Millisecond)
			c.Tick(now)
			effects := c.TakeEffects()
			for _, line := range effects.LogLines {
				if line.Message == "no such job" {
					lines++
				}
			}
			if effects.Commit != nil {
				c.Committed(now, effects.Commit.Number)
			}
		}
		assert.Equal(t, lines, want, pool)
	}
}
