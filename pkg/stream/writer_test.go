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

// answer is what the store does with one append.
type answer struct {
	err error
	// silent appends are not answered at all, and others after a time.
	silent bool
	after  time.Duration
}

// scripted is a store that answers appends as it is told, and then well.
type scripted struct {
	damsonwinch.Store
	mutex   sync.Mutex
	answers []answer
	fences  []damsonwinch.Fence
}

func (s *scripted) Append(ctx context.Context, _ damsonwinch.Stream, _ []damsonwinch.Record, fence damsonwinch.Fence) (int, error) {
	next := s.next(fence)
	if next.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	clockwork.NewRealClock().Sleep(next.after)
	return 0, next.err
}

func (s *scripted) next(fence damsonwinch.Fence) answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fences = append(s.fences, fence)
	if len(s.answers) == 0 {
		return answer{}
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	return next
}

func (s *scripted) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: "job"}}, End: 1}, nil
}

func newWriter(store damsonwinch.Store) *Writer {
	deps := Deps{Store: store, Clock: clockwork.NewRealClock(), Metrics: metrics.New()}
	return New(deps, damsonwinch.Stream{Topic: "cells"}, "cell", 7)
}

// TestAnAppendIsRepeatedWithItsFence so that it counts once however often it arrives.
func TestAnAppendIsRepeatedWithItsFence(t *testing.T) {
	store := &scripted{answers: []answer{{silent: true}, {err: damsonwinch.ErrRefused}}}
	w := newWriter(store)
	fence := w.NextFence()
	assert.NilError(t, w.Append(context.Background(), nil, fence))
	assert.DeepEqual(t, store.fences, []damsonwinch.Fence{fence, fence, fence})
	assert.Equal(t, w.NextFence().Sequence, fence.Sequence+1)
}

// TestASilentStoreIsAskedAgainSoon since a call that was sent while it was away is not
// answered any more when it is back: tries of two seconds left cells idle for so long.
func TestASilentStoreIsAskedAgainSoon(t *testing.T) {
	silent := make([]answer, 5)
	for at := range silent {
		silent[at].silent = true
	}
	store := &scripted{answers: silent}
	w := newWriter(store)
	clock := clockwork.NewRealClock()
	begun := clock.Now()
	assert.NilError(t, w.Append(context.Background(), nil, w.NextFence()))
	assert.Assert(t, clock.Since(begun) < 5*(mostTimeout+mostPause)+time.Second)
}

// TestADeposedOwnerIsTold and tries no more.
func TestADeposedOwnerIsTold(t *testing.T) {
	for _, refusal := range []error{damsonwinch.ErrFenced, damsonwinch.ErrOutOfSequence} {
		store := &scripted{answers: []answer{{err: refusal}}}
		w := newWriter(store)
		_, err := w.TakeOver(context.Background())
		assert.Assert(t, errors.Is(err, ErrOwnershipLost))
		assert.Assert(t, errors.Is(err, refusal))
		assert.Equal(t, len(store.fences), 1)
	}
}

// TestTakeOver raises the epoch before it reads.
func TestTakeOver(t *testing.T) {
	store := &scripted{}
	w := newWriter(store)
	records, err := w.TakeOver(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.DeepEqual(t, store.fences, []damsonwinch.Fence{{Producer: "cell", Epoch: 7}})
}
