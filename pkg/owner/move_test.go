package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/stream"
	"damsonwinch/pkg/wire"
)

// partedStore turns the calls of the first partition away and takes those of others.
type partedStore struct {
	damsonwinch.Store
	written atomic.Int64
	full    bool
	// slow makes appends take longer than any test.
	slow bool
}

var errBusy = errors.New("turned away")

// Append implements damsonwinch.Store.
func (s *partedStore) Append(ctx context.Context, at damsonwinch.Stream, records []damsonwinch.Record, _ damsonwinch.Fence) (int, error) {
	if s.slow {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if at.Partition == 0 {
		return 0, errBusy
	}
	s.written.Add(int64(len(records)))
	return 0, nil
}

// Newest implements damsonwinch.Store.
func (s *partedStore) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	if s.full {
		return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: "job"}}, End: 1}, nil
	}
	return damsonwinch.KeyPage{}, nil
}

// moving is an owner whose task doesn't run, with a job on its way to the store.
type moving struct {
	*Owner
	clock   *clockwork.FakeClock
	store   *partedStore
	replies chan wire.JobReply
	// taken are the partitions that were sought, and moves those to go on in.
	taken, moves []int
}

func newMoving(t *testing.T, store *partedStore) *moving {
	clock := clockwork.NewFakeClock()
	m := &moving{Owner: newIdle(clock), clock: clock, store: store, replies: make(chan wire.JobReply, 4)}
	ctx, cancel := context.WithCancel(t.Context())
	m.group, m.ctx = errgroup.WithContext(ctx)
	m.cancel, m.inbox = cancel, make(chan message, inboxSize)
	m.deps.Store = m.store
	m.deps.StoreAnsweredAt = clock.Now
	m.deps.ReservePartition = func(take func(int)) { m.taken = append(m.taken, 0); take(len(m.taken)) }
	m.deps.PartitionStream = func(number int) damsonwinch.Stream { return damsonwinch.Stream{Topic: "cells", Partition: number} }
	m.deps.MoveClaim = func(_ string, _, number int) { m.moves = append(m.moves, number) }
	m.options = Options{Cell: "pool", Token: 3, MaxAppendBytes: 1 << 20}
	m.writer = stream.New(stream.Deps{Store: m.store, Clock: clockwork.NewRealClock(), Metrics: m.deps.Metrics}, m.deps.PartitionStream(0), "pool", 3)
	submission("a", clock.Now(), m.replies).apply(m.Owner, clock.Now())
	assert.Assert(t, !m.carryOut())
	t.Cleanup(func() {
		cancel()
		_ = m.group.Wait()
	})
	return m
}

// next takes the message that comes next.
func (m *moving) next() { (<-m.inbox).apply(m.Owner, m.clock.Now()) }

// stuck lets the append fail for long enough.
func (m *moving) stuck(t *testing.T) {
	clock := clockwork.NewRealClock()
	for m.writer.Failed() < failedTries {
		assert.NilError(t, t.Context().Err())
		clock.Sleep(time.Millisecond)
	}
	m.clock.Advance(stuckTime)
}

// TestACellIsWrittenElsewhere when its own partition turns records away, and what the commit
// there would set off is not done any more.
func TestACellIsWrittenElsewhere(t *testing.T) {
	m := newMoving(t, &partedStore{})
	m.stuck(t)
	m.considerMove(m.clock.Now())
	m.next()
	m.next()
	assert.DeepEqual(t, m.moves, []int{1})
	assert.Assert(t, m.store.written.Load() > 0)

	committed{number: 1}.apply(m.Owner, m.clock.Now())
	assert.Assert(t, !m.carryOut())
	assert.Equal(t, len(m.replies), 0, "the job's acceptance isn't in the snapshot")
	m.clock.Advance(10 * movePause)
	m.considerMove(m.clock.Now())
	assert.Equal(t, len(m.taken), 1, "one move at a time")
}

// TestACellStaysWhereTheOtherPartitionIsFull of another cell's records, and what was withheld
// meanwhile is done.
func TestACellStaysWhereTheOtherPartitionIsFull(t *testing.T) {
	m := newMoving(t, &partedStore{full: true})
	m.stuck(t)
	m.considerMove(m.clock.Now())
	m.next()
	committed{number: 1}.apply(m.Owner, m.clock.Now())
	assert.Assert(t, !m.carryOut())
	assert.Equal(t, len(m.replies), 0)
	m.next()
	assert.Assert(t, !m.carryOut())
	assert.Equal(t, (<-m.replies).Outcome, wire.JobOutcomeAccepted)
	assert.Equal(t, len(m.moves), 0)
}

// TestACellStaysWhereItIs while the store is away as a whole or the append is only slow, and
// when the records are taken before a partition has been.
func TestACellStaysWhereItIs(t *testing.T) {
	m := newMoving(t, &partedStore{})
	m.clock.Advance(stuckTime / 2)
	m.considerMove(m.clock.Now())
	assert.Equal(t, len(m.taken), 0, "too early")

	m.stuck(t)
	answered := m.clock.Now().Add(-2 * answeredTime)
	m.deps.StoreAnsweredAt = func() time.Time { return answered }
	m.considerMove(m.clock.Now())
	assert.Equal(t, len(m.taken), 0, "the store is away")

	m.deps.StoreAnsweredAt = m.clock.Now
	m.clock.Advance(backTime)
	m.considerMove(m.clock.Now())
	committed{number: 1}.apply(m.Owner, m.clock.Now())
	assert.Assert(t, !m.carryOut())
	assert.Equal(t, len(m.replies), 1)
	m.next()
	assert.Assert(t, !m.move.frozen)
	assert.Equal(t, len(m.moves), 0)
}

// TestACellStaysWhenTheStoreIsBack: the append was sent while nothing was answered, and is
// tried again within a second. A cell that moved meanwhile left the calls of 700 clients in
// doubt, once in eight runs of a whole node whose store was silent for 1.5 s.
func TestACellStaysWhenTheStoreIsBack(t *testing.T) {
	m := newMoving(t, &partedStore{})
	m.stuck(t)
	answered := m.clock.Now().Add(-2 * answeredTime)
	m.deps.StoreAnsweredAt = func() time.Time { return answered }
	m.considerMove(m.clock.Now())

	m.deps.StoreAnsweredAt = m.clock.Now
	m.clock.Advance(backTime / 2)
	m.considerMove(m.clock.Now())
	assert.Equal(t, len(m.taken), 0, "the store is just back")
	m.clock.Advance(backTime / 2)
	m.considerMove(m.clock.Now())
	assert.Equal(t, len(m.taken), 1, "its partition is out all the same")
}

// TestASlowAppendIsNotTurnedAway: on a slow link 2 MB of records take 1.6 s, and a snapshot
// of the cell would take longer.
func TestASlowAppendIsNotTurnedAway(t *testing.T) {
	m := newMoving(t, &partedStore{slow: true})
	m.clock.Advance(10 * stuckTime)
	m.considerMove(m.clock.Now())
	assert.Equal(t, len(m.taken), 0)
}
