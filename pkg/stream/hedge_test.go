package stream

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
)

// appendTime returns how long an append of records to a store takes.
func appendTime(t *testing.T, store *scriptedStore, records ...damsonwinch.Record) time.Duration {
	t.Helper()
	w := newWriter(store)
	clock := clockwork.NewRealClock()
	started := clock.Now()
	assert.NilError(t, w.Append(context.Background(), records, w.NextFence()))
	return clock.Since(started)
}

// TestLostResponseIsHedged guards against appends that wait for a lost response: while three in ten responses
// were lost, commits that wait for each other took 0.4 s instead of 5 ms.
func TestLostResponseIsHedged(t *testing.T) {
	store := &scriptedStore{responses: []scriptedResponse{{silent: true}, {silent: true}}}
	took := appendTime(t, store)
	assert.Assert(t, took >= 3*minHedgeDelay && took < minTimeout, "%v", took)
	assert.Equal(t, len(store.fences), 3)
	assert.Equal(t, store.fences[0], store.fences[2], "all tries have the same fence, so the append counts once")
}

// TestLargeAppendIsNotHedged checks that a large append is only retried after its timeout. On a slow
// link it takes longer than the hedge delay, so that a second copy would only slow it down.
func TestLargeAppendIsNotHedged(t *testing.T) {
	store := &scriptedStore{responses: []scriptedResponse{{silent: true}}}
	took := appendTime(t, store, damsonwinch.Record{Key: "job", Value: make([]byte, maxHedgedBytes)})
	assert.Assert(t, took >= minTimeout, "%v", took)
	assert.Equal(t, len(store.fences), 2)
}

// TestSlowStoreGetsNoHedgedCalls checks that a try which takes twice as long as the last one is not
// hedged.
func TestSlowStoreGetsNoHedgedCalls(t *testing.T) {
	store := &scriptedStore{}
	w := newWriter(store)
	w.usualDuration.Store(int64(minHedgeDelay))
	store.responses = []scriptedResponse{{after: 2 * minHedgeDelay}}
	assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
	assert.Equal(t, len(store.fences), 1)
	assert.Equal(t, w.deps.Metrics.Count("store_hedges"), 0)
}

// TestConcurrentTriesAreLimited checks that a store which doesn't answer gets no more than
// maxConcurrentTries tries within a timeout.
func TestConcurrentTriesAreLimited(t *testing.T) {
	silent := make([]scriptedResponse, 20)
	for i := range silent {
		silent[i].silent = true
	}
	store := &scriptedStore{responses: silent}
	ctx, cancel := context.WithTimeout(context.Background(), minTimeout)
	defer cancel()
	w := newWriter(store)
	assert.ErrorIs(t, w.Append(ctx, nil, w.NextFence()), context.DeadlineExceeded)
	assert.Equal(t, len(store.fences), maxConcurrentTries)
}

// TestOneLateResponseDoesNotDelayHedging guards against a hedge delay that follows a single late response. While some
// responses are late, the next append whose response is lost then waited for its timeout.
func TestOneLateResponseDoesNotDelayHedging(t *testing.T) {
	late := scriptedResponse{after: 150 * time.Millisecond}
	store := &scriptedStore{responses: []scriptedResponse{{after: 5 * time.Millisecond}, late, {silent: true}, {silent: true}, {silent: true}}}
	w := newWriter(store)
	clock := clockwork.NewRealClock()
	var took time.Duration
	for range 3 {
		started := clock.Now()
		assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
		took = clock.Since(started)
	}
	assert.Assert(t, took >= minHedgeDelay && took < minTimeout, "%v", took)
}

// TestSlowStoreGetsFewAdditionalCalls checks that a store whose responses all take long gets no hedged calls after a
// few appends.
func TestSlowStoreGetsFewAdditionalCalls(t *testing.T) {
	slow := 200 * time.Millisecond
	store := &scriptedStore{}
	for range 30 {
		store.responses = append(store.responses, scriptedResponse{after: slow})
	}
	w := newWriter(store)
	for range 6 {
		assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
	}
	before := len(store.fences)
	assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
	assert.Equal(t, len(store.fences), before+1)
}
