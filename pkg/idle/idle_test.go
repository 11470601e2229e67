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
	first = 3 * time.Second
	next  = time.Second
	step  = 900 * time.Millisecond
)

// ended waits for a context's end, which a fake clock brings about in another goroutine.
func ended(ctx context.Context) bool {
	limit := time.NewTimer(time.Second)
	defer limit.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-limit.C:
		return false
	}
}

func TestACallWithoutAnAnswerEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := WithTimeout(t.Context(), clock, first, next)
	defer cancel(nil)
	clock.Advance(first)
	assert.Assert(t, ended(ctx))
	assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	assert.Assert(t, !AnswerStarted(ctx))
}

func TestACallGoesOnWhileItMakesProgress(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := WithTimeout(t.Context(), clock, first, next)
	defer cancel(nil)
	for range 10 {
		clock.Advance(first - step)
		Sent(ctx)
	}
	for range 10 {
		Received(ctx)
		clock.Advance(step)
	}
	assert.NilError(t, ctx.Err())
	assert.Assert(t, AnswerStarted(ctx))
	clock.Advance(next)
	assert.Assert(t, ended(ctx), "an answer that stops coming ends the call")
}

// TestProgressOfAPartIsProgressOfTheWhole so that a takeover of many pages is not given up
// while its pages come.
func TestProgressOfAPartIsProgressOfTheWhole(t *testing.T) {
	clock := clockwork.NewFakeClock()
	whole, cancel := WithTimeout(t.Context(), clock, next, next)
	defer cancel(nil)
	for range 10 {
		part, end := WithTimeout(whole, clock, first, next)
		Sent(part)
		clock.Advance(step)
		Received(part)
		end(nil)
		clock.Advance(step)
	}
	assert.NilError(t, whole.Err())
}

func TestACancelledCallTellsWhy(t *testing.T) {
	why := errors.New("why")
	ctx, cancel := WithTimeout(t.Context(), clockwork.NewFakeClock(), first, next)
	cancel(why)
	assert.Assert(t, errors.Is(context.Cause(ctx), why))
}
