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

// partialOutageStore refuses appends to partition 0 and accepts those to all others.
type partialOutageStore struct {
	damsonwinch.Store
	recordsWritten atomic.Int64
	// occupied makes all partitions hold a record of another cell.
	occupied bool
	// slow makes appends block until their contexts end.
	slow bool
}

var errAppendRefused = errors.New("append refused")

// Append implements damsonwinch.Store.
func (s *partialOutageStore) Append(ctx context.Context, at damsonwinch.Stream, records []damsonwinch.Record, _ damsonwinch.Fence) (int, error) {
	if s.slow {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if at.Partition == 0 {
		return 0, errAppendRefused
	}
	s.recordsWritten.Add(int64(len(records)))
	return 0, nil
}

// Newest implements damsonwinch.Store.
func (s *partialOutageStore) Newest(context.Context, damsonwinch.Stream, string) (damsonwinch.KeyPage, error) {
	if s.occupied {
		return damsonwinch.KeyPage{Records: []damsonwinch.Record{{Key: "job"}}, End: 1}, nil
	}
	return damsonwinch.KeyPage{}, nil
}

// ownerFixture is an owner whose goroutine doesn't run, with an append of a job in flight.
type ownerFixture struct {
	*Owner
	clock   *clockwork.FakeClock
	store   *partialOutageStore
	replies chan wire.JobReply
	// reserved has one element for each reservation of a partition. moves holds the partitions to
	// which the cell's claim was moved.
	reserved, moves []int
}

// newFixture returns a fixture whose append to the store has begun.
func newFixture(t *testing.T, store *partialOutageStore) *ownerFixture {
	clock := clockwork.NewFakeClock()
	f := &ownerFixture{Owner: newUnstartedOwner(clock), clock: clock, store: store, replies: make(chan wire.JobReply, 4)}
	ctx, cancel := context.WithCancel(t.Context())
	f.group, f.ctx = errgroup.WithContext(ctx)
	f.cancel, f.inbox = cancel, make(chan message, inboxCapacity)
	f.deps.Store = f.store
	f.deps.StoreAnsweredAt = clock.Now
	f.deps.ReservePartition = func(onReserved func(int)) { f.reserved = append(f.reserved, 0); onReserved(len(f.reserved)) }
	f.deps.PartitionStream = func(number int) damsonwinch.Stream { return damsonwinch.Stream{Topic: "cells", Partition: number} }
	f.deps.MoveClaim = func(_ string, _, number int) { f.moves = append(f.moves, number) }
	f.options = Options{Cell: "pool", Token: 3, MaxAppendBytes: 1 << 20}
	f.writer = stream.New(stream.Deps{Store: f.store, Clock: clockwork.NewRealClock(), Metrics: f.deps.Metrics}, f.deps.PartitionStream(0), "pool", 3)
	submission("a", clock.Now(), f.replies).apply(f.Owner, clock.Now())
	assert.Assert(t, !f.executeEffects())
	t.Cleanup(func() {
		cancel()
		_ = f.group.Wait()
	})
	return f
}

// applyNext waits for the next message and applies it.
func (f *ownerFixture) applyNext() { (<-f.inbox).apply(f.Owner, f.clock.Now()) }

// waitUntilRefused waits until the append has failed often enough, and advances the clock until the append
// is old enough, for the cell to move.
func (f *ownerFixture) waitUntilRefused(t *testing.T) {
	clock := clockwork.NewRealClock()
	for f.writer.FailedTries() < minFailedTries {
		assert.NilError(t, t.Context().Err())
		clock.Sleep(time.Millisecond)
	}
	f.clock.Advance(minCommitAge)
}

// If the commit in flight succeeds after the snapshot was taken, its effects must not be carried out,
// because the snapshot doesn't include them.
func TestCellMovesWhenItsPartitionRefusesAppends(t *testing.T) {
	f := newFixture(t, &partialOutageStore{})
	f.waitUntilRefused(t)
	f.maybeStartMove(f.clock.Now())
	f.applyNext()
	f.applyNext()
	assert.DeepEqual(t, f.moves, []int{1})
	assert.Assert(t, f.store.recordsWritten.Load() > 0)

	committed{number: 1}.apply(f.Owner, f.clock.Now())
	assert.Assert(t, !f.executeEffects())
	assert.Equal(t, len(f.replies), 0, "the snapshot doesn't include that the job is accepted")
	f.clock.Advance(10 * moveRetryInterval)
	f.maybeStartMove(f.clock.Now())
	assert.Equal(t, len(f.reserved), 1, "there must be only one move at a time")
}

// The move is aborted if the reserved partition holds records of another cell. The effects of a commit
// that succeeded meanwhile are then carried out.
func TestMoveIsAbortedIfPartitionHoldsRecords(t *testing.T) {
	f := newFixture(t, &partialOutageStore{occupied: true})
	f.waitUntilRefused(t)
	f.maybeStartMove(f.clock.Now())
	f.applyNext()
	committed{number: 1}.apply(f.Owner, f.clock.Now())
	assert.Assert(t, !f.executeEffects())
	assert.Equal(t, len(f.replies), 0)
	f.applyNext()
	assert.Assert(t, !f.executeEffects())
	assert.Equal(t, (<-f.replies).Outcome, wire.JobOutcomeAccepted)
	assert.Equal(t, len(f.moves), 0)
}

// A cell stays in its partition if the append is not old enough, if the store as a whole is unavailable, or
// if the append succeeds before a partition is reserved.
func TestCellDoesNotMoveWithoutNeed(t *testing.T) {
	f := newFixture(t, &partialOutageStore{})
	f.clock.Advance(minCommitAge / 2)
	f.maybeStartMove(f.clock.Now())
	assert.Equal(t, len(f.reserved), 0, "the append has not been in flight for long enough")

	f.waitUntilRefused(t)
	answered := f.clock.Now().Add(-2 * maxStoreSilence)
	f.deps.StoreAnsweredAt = func() time.Time { return answered }
	f.maybeStartMove(f.clock.Now())
	assert.Equal(t, len(f.reserved), 0, "the store as a whole is unavailable")

	f.deps.StoreAnsweredAt = f.clock.Now
	f.clock.Advance(outageRecoveryTime)
	f.maybeStartMove(f.clock.Now())
	committed{number: 1}.apply(f.Owner, f.clock.Now())
	assert.Assert(t, !f.executeEffects())
	assert.Equal(t, len(f.replies), 1)
	f.applyNext()
	assert.Assert(t, !f.move.frozen)
	assert.Equal(t, len(f.moves), 0)
}

// An append that was sent while the store as a whole was unavailable is retried within a second after the
// store is back. In one of eight runs of a whole node whose store was silent for 1.5 s, a cell moved in that
// second and left the outcome of 700 clients' calls unknown.
func TestCellDoesNotMoveRightAfterStoreOutage(t *testing.T) {
	f := newFixture(t, &partialOutageStore{})
	f.waitUntilRefused(t)
	answered := f.clock.Now().Add(-2 * maxStoreSilence)
	f.deps.StoreAnsweredAt = func() time.Time { return answered }
	f.maybeStartMove(f.clock.Now())

	f.deps.StoreAnsweredAt = f.clock.Now
	f.clock.Advance(outageRecoveryTime / 2)
	f.maybeStartMove(f.clock.Now())
	assert.Equal(t, len(f.reserved), 0, "the store has only just recovered")
	f.clock.Advance(outageRecoveryTime / 2)
	f.maybeStartMove(f.clock.Now())
	assert.Equal(t, len(f.reserved), 1, "the partition still refuses appends")
}

// On a slow link 2 MB of records take 1.6 s, and a snapshot of the cell would take even longer.
func TestCellDoesNotMoveWhileAppendIsSlow(t *testing.T) {
	f := newFixture(t, &partialOutageStore{slow: true})
	f.clock.Advance(10 * minCommitAge)
	f.maybeStartMove(f.clock.Now())
	assert.Equal(t, len(f.reserved), 0)
}
