package stream

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
)

// scriptedResponse says how the store answers one append.
type scriptedResponse struct {
	err error
	// silent means that the store doesn't answer. Otherwise it answers after the time after.
	silent bool
	after  time.Duration
}

// scriptedStore is a store that takes its responses to appends from a list, and accepts all further
// appends. It keeps the fences of all appends.
type scriptedStore struct {
	damsonwinch.Store
	mutex     sync.Mutex
	responses []scriptedResponse
	fences    []damsonwinch.Fence
}

func (s *scriptedStore) Append(ctx context.Context, _ damsonwinch.Stream, _ []damsonwinch.Record, fence damsonwinch.Fence) (int, error) {
	next := s.next(fence)
	if next.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	clockwork.NewRealClock().Sleep(next.after)
	return 0, next.err
}

// next stores the fence of an append and returns the next answer.
func (s *scriptedStore) next(fence damsonwinch.Fence) scriptedResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fences = append(s.fences, fence)
	if len(s.responses) == 0 {
		return scriptedResponse{}
	}
	next := s.responses[0]
	s.responses = s.responses[1:]
	return next
}

func (s *scriptedStore) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: "job"}}, End: 1}, nil
}

func newWriter(store damsonwinch.Store) *Writer {
	deps := Deps{Store: store, Clock: clockwork.NewRealClock(), Metrics: metrics.New()}
	return New(deps, damsonwinch.Stream{Topic: "cells"}, "cell", 7)
}

// TestAppendIsRetriedWithTheSameFence checks that a retry has the fence of the first try, by which the
// store detects that it has carried out the append already.
func TestAppendIsRetriedWithTheSameFence(t *testing.T) {
	store := &scriptedStore{responses: []scriptedResponse{{silent: true}, {err: damsonwinch.ErrRefused}}}
	w := newWriter(store)
	fence := w.NextFence()
	assert.NilError(t, w.Append(context.Background(), nil, fence))
	assert.DeepEqual(t, store.fences, []damsonwinch.Fence{fence, fence, fence})
	assert.Equal(t, w.NextFence().Sequence, fence.Sequence+1)
}

// TestSilentStoreIsRetriedSoon guards against long timeouts. A call that is sent during an outage of the
// store is never answered. With a timeout of two seconds cells stay idle that long after the outage.
func TestSilentStoreIsRetriedSoon(t *testing.T) {
	silent := make([]scriptedResponse, 5)
	for i := range silent {
		silent[i].silent = true
	}
	store := &scriptedStore{responses: silent}
	w := newWriter(store)
	clock := clockwork.NewRealClock()
	started := clock.Now()
	assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
	assert.Assert(t, clock.Since(started) < 5*(maxTimeout+maxRetryDelay)+time.Second)
}

// TestFencedWriterReturnsErrOwnershipLost also checks that a writer doesn't retry after this error.
func TestFencedWriterReturnsErrOwnershipLost(t *testing.T) {
	for _, refusal := range []error{damsonwinch.ErrFenced, damsonwinch.ErrOutOfSequence} {
		store := &scriptedStore{responses: []scriptedResponse{{err: refusal}}}
		w := newWriter(store)
		_, err := w.TakeOver(context.Background())
		assert.Assert(t, errors.Is(err, ErrOwnershipLost))
		assert.Assert(t, errors.Is(err, refusal))
		assert.Equal(t, len(store.fences), 1)
	}
}

// TestTakeOverRaisesTheEpochAndReads checks that TakeOver makes one append, which raises the epoch, and
// returns the newest records.
func TestTakeOverRaisesTheEpochAndReads(t *testing.T) {
	store := &scriptedStore{}
	w := newWriter(store)
	records, err := w.TakeOver(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.DeepEqual(t, store.fences, []damsonwinch.Fence{{Producer: "cell", Epoch: 7}})
}
