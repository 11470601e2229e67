package deadline_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/deadline"
)

// TestEarlierDeadlineHolds also checks that the end of the parent cancels the context.
func TestEarlierDeadlineHolds(t *testing.T) {
	base := time.Unix(1_000_000_000_000, 0)
	parent, cancel := context.WithDeadline(t.Context(), base)
	defer cancel()

	earlier, _ := deadline.With(parent, base.Add(-time.Second)).Deadline()
	later, _ := deadline.With(parent, base.Add(time.Second)).Deadline()
	assert.Equal(t, earlier, base.Add(-time.Second))
	assert.Equal(t, later, base)

	ctx := deadline.With(parent, base.Add(-time.Second))
	assert.NilError(t, ctx.Err())
	cancel()
	<-ctx.Done()
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
}
