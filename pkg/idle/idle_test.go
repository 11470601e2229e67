package idle

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const (
	startTimeout = 3 * time.Second
	gapTimeout   = time.Second
	// step is shorter than both.
	step = 900 * time.Millisecond
)

// cancelled waits until ctx is cancelled, which a fake clock does in another goroutine, and reports
// whether that happened within a second.
func cancelled(ctx context.Context) bool {
	limit := time.NewTimer(time.Second)
	defer limit.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-limit.C:
		return false
	}
}

func TestCallIsCancelledWithoutAResponse(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := WithTimeout(t.Context(), clock, startTimeout, gapTimeout)
	defer cancel(nil)
	clock.Advance(startTimeout)
	assert.Assert(t, cancelled(ctx))
	assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	assert.Assert(t, !ResponseStarted(ctx))
}

func TestCallContinuesWhileItMakesProgress(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := WithTimeout(t.Context(), clock, startTimeout, gapTimeout)
	defer cancel(nil)
	for range 10 {
		clock.Advance(startTimeout - step)
		Sent(ctx)
	}
	for range 10 {
		Received(ctx)
		clock.Advance(step)
	}
	assert.NilError(t, ctx.Err())
	assert.Assert(t, ResponseStarted(ctx))
	clock.Advance(gapTimeout)
	assert.Assert(t, cancelled(ctx), "the call is cancelled when its response stops arriving")
}

// TestProgressOfInnerCallIsProgressOfOuterCall guards against the cancellation of a takeover that reads
// many pages, each by a call of its own, while these pages still arrive.
func TestProgressOfInnerCallIsProgressOfOuterCall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	outer, cancel := WithTimeout(t.Context(), clock, gapTimeout, gapTimeout)
	defer cancel(nil)
	for range 10 {
		inner, cancelInner := WithTimeout(outer, clock, startTimeout, gapTimeout)
		Sent(inner)
		clock.Advance(step)
		Received(inner)
		cancelInner(nil)
		clock.Advance(step)
	}
	assert.NilError(t, outer.Err())
}

func TestCancelSetsTheCause(t *testing.T) {
	cause := errors.New("why")
	ctx, cancel := WithTimeout(t.Context(), clockwork.NewFakeClock(), startTimeout, gapTimeout)
	cancel(cause)
	assert.Assert(t, errors.Is(context.Cause(ctx), cause))
}
