package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/stream"
)

// Conditions and timeouts of a move of the cell to another partition of the store. An outage of a partition
// lasts 4 to 7 s, during which its cell starts nothing. A move takes 0.2 s.
const (
	// minCommitAge is how long an append must be in flight, and minFailedTries how many tries of it
	// must have failed, for the cell to move. The store answers in 5 ms, or in 350 ms on a slow day.
	// On a slow link an append takes seconds without failing.
	minCommitAge   = 600 * time.Millisecond
	minFailedTries = 2
	// maxStoreSilence is how recently the store must have answered a call of this node for the cell to
	// move. If the store as a whole is unavailable, a move would fail too.
	maxStoreSilence = 400 * time.Millisecond
	// outageSilence is how long the store must have answered no call of this node for it to count as
	// unavailable as a whole. A node calls the store every 0.3 s, and a response may take 0.35 s.
	outageSilence = 750 * time.Millisecond
	// outageRecoveryTime is how long after such an outage the cell doesn't move. A try of an append that
	// was sent during the outage is given up after 0.8 s, and the next try is answered at once.
	outageRecoveryTime = time.Second
	// snapshotTimeout bounds the time for writing the cell to another partition, which may be unavailable
	// as well. The write usually takes 40 ms.
	snapshotTimeout = 500 * time.Millisecond
	// moveRetryInterval is the shortest time between two attempts to move.
	moveRetryInterval = 200 * time.Millisecond
)

// move is the state of a move of the cell to another partition. Once the cell's snapshot has been taken,
// the owner must not carry out decisions that the snapshot doesn't include.
type move struct {
	attemptedAt time.Time
	// storeOutageAt is when the store as a whole was last unavailable.
	storeOutageAt time.Time
	// frozen is set once the snapshot has been taken. If the commit in flight succeeds after that,
	// withheldCommit holds the message, which is applied only if the move fails.
	frozen         bool
	withheldCommit *committed
}

// Messages about a move.
type (
	// partitionReserved reports that a partition is reserved for the cell.
	partitionReserved struct{ number int }
	// snapshotWritten is the result of writing the cell's snapshot to a partition.
	snapshotWritten struct {
		number int
		err    error
	}
)

// maybeStartMove starts to move the cell if the store doesn't accept appends to the cell's stream but
// answers other calls.
func (o *Owner) maybeStartMove(now time.Time) {
	storeSilence := now.Sub(o.deps.StoreAnsweredAt())
	if storeSilence > outageSilence {
		o.move.storeOutageAt = now
	}
	if o.move.frozen || now.Sub(o.move.attemptedAt) < moveRetryInterval || !o.appendRefused(now) || storeSilence > maxStoreSilence || now.Sub(o.move.storeOutageAt) < outageRecoveryTime {
		return
	}
	o.move.attemptedAt = now
	o.deps.Logger.WithField("stuck_ms", o.cell.CommitAge(now).Milliseconds()).Warn("the store doesn't accept the cell's records; reserving another partition")
	o.deps.Metrics.Add("moves_tried", 1)
	o.deps.ReservePartition(func(number int) { o.send(partitionReserved{number: number}) })
}

// appendRefused reports whether the append in flight is old enough, and has failed often enough, for the cell
// to move.
func (o *Owner) appendRefused(now time.Time) bool {
	return o.cell.CommitAge(now) >= minCommitAge && o.writer.FailedTries() >= minFailedTries
}

// apply writes a snapshot of the cell to the reserved partition, unless the store has accepted the append
// in the meantime.
func (m partitionReserved) apply(o *Owner, now time.Time) {
	if o.move.frozen || !o.appendRefused(now) {
		return
	}
	o.move.frozen, o.move.attemptedAt = true, now
	records := o.cell.Snapshot()
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, snapshotTimeout)
		defer cancel()
		o.send(snapshotWritten{number: m.number, err: o.writeSnapshot(ctx, m.number, records)})
		return nil
	})
}

// writeSnapshot writes the cell's records to a partition. It fails if the partition holds any records.
func (o *Owner) writeSnapshot(ctx context.Context, number int, records []damsonwinch.Record) error {
	deps := stream.Deps{Store: o.deps.Store, Clock: o.deps.Clock, Metrics: o.deps.Metrics}
	writer := stream.New(deps, o.deps.PartitionStream(number), o.options.Cell, o.options.Token)
	existing, err := writer.TakeOver(ctx)
	if err != nil {
		return err
	}
	if len(existing) > 0 {
		return errPartitionNotEmpty
	}
	for _, batch := range cellrecord.Batches(records, o.options.MaxAppendBytes) {
		if err := writer.Append(ctx, batch, writer.NextFence()); err != nil {
			return err
		}
	}
	return nil
}

var errPartitionNotEmpty = errors.New("the partition holds records of another cell")

// apply claims the cell again, in the partition that now holds its snapshot, or aborts the move if the
// snapshot could not be written. The next owner loads the cell from there. This owner is closed once
// its node has read the new claim.
func (m snapshotWritten) apply(o *Owner, now time.Time) {
	logger := o.deps.Logger.WithFields(logrus.Fields{"partition": m.number, "took_ms": now.Sub(o.move.attemptedAt).Milliseconds()})
	if m.err != nil {
		logger.WithError(m.err).Warn("cell not written to another partition")
		o.abortMove(now)
		return
	}
	logger.Info("cell written to another partition")
	o.deps.MoveClaim(o.options.Cell, o.options.Token, m.number)
}

// abortMove ends an attempt to move and applies the commit that was withheld, if any.
func (o *Owner) abortMove(now time.Time) {
	withheld := o.move.withheldCommit
	o.move = move{attemptedAt: now, storeOutageAt: o.move.storeOutageAt}
	if withheld != nil {
		withheld.apply(o, now)
	}
}
