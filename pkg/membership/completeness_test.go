package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/membership"
)

// TestListIsCompleteAfterStableReads checks that a list counts as complete only after it has been stable for a
// time, and not any more once it changes.
func TestListIsCompleteAfterStableReads(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var c membership.Completeness
	assert.Assert(t, !c.Complete())
	for _, read := range []struct {
		afterMs          int
		stable, complete bool
	}{
		{0, false, false},
		{1999, true, false},
		{2000, true, true},
		{2500, false, false},
		{4499, true, false},
		{4500, true, true},
	} {
		c = c.WithRead(start.Add(time.Duration(read.afterMs)*time.Millisecond), read.stable)
		assert.Equal(t, c.Complete(), read.complete, "after %d ms", read.afterMs)
	}
}
