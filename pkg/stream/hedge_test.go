package stream

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
)

// appendTime returns how long an append takes of which the store leaves the first tries
// unanswered.
func appendTime(t *testing.T, store *scripted, records ...damsonwinch.Record) time.Duration {
	t.Helper()
	w := newWriter(store)
	clock := clockwork.NewRealClock()
	begun := clock.Now()
	assert.NilError(t, w.Append(context.Background(), records, w.NextFence()))
	return clock.Since(begun)
}

// TestALostAnswerIsNotAwaited: three in ten answers were lost for 5 s, and commits that wait
// for each other took 0.4 s in place of 5 ms.
func TestALostAnswerIsNotAwaited(t *testing.T) {
	store := &scripted{answers: []answer{{silent: true}, {silent: true}}}
	took := appendTime(t, store)
	assert.Assert(t, took >= 3*leastHedgeTime && took < leastTimeout, "%v", took)
	assert.Equal(t, len(store.fences), 3)
	assert.Equal(t, store.fences[0], store.fences[2], "it counts once")
}

// TestALargeAppendIsNotSentBesideItself: it fills a slow link for longer than that.
func TestALargeAppendIsNotSentBesideItself(t *testing.T) {
	store := &scripted{answers: []answer{{silent: true}}}
	took := appendTime(t, store, damsonwinch.Record{Key: "job", Value: make([]byte, mostHedgedBytes)})
	assert.Assert(t, took >= leastTimeout, "%v", took)
	assert.Equal(t, len(store.fences), 2)
}

// TestASlowStoreIsNotAskedTwice once it is known to be slow.
func TestASlowStoreIsNotAskedTwice(t *testing.T) {
	store := &scripted{}
	w := newWriter(store)
	w.took.Store(int64(leastHedgeTime))
	store.answers = []answer{{after: 2 * leastHedgeTime}}
	assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
	assert.Equal(t, len(store.fences), 1)
	assert.Equal(t, w.deps.Metrics.Count("store_hedges"), 0)
}

// TestTriesOnTheirWayAreFew however long the store is silent.
func TestTriesOnTheirWayAreFew(t *testing.T) {
	silent := make([]answer, 20)
	for at := range silent {
		silent[at].silent = true
	}
	store := &scripted{answers: silent}
	ctx, cancel := context.WithTimeout(context.Background(), leastTimeout)
	defer cancel()
	w := newWriter(store)
	assert.ErrorIs(t, w.Append(ctx, nil, w.NextFence()), context.DeadlineExceeded)
	assert.Equal(t, len(store.fences), mostTries)
}
