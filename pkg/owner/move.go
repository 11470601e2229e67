package owner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/stream"
)

// Times of a move to another partition of the store.
const (
	// stuckTime is for how long an append must not have been done for the cell to move, and
	// failedTries how many times it must have failed: the store answers in 5 ms, and in 350
	// on a slow day, and on a slow link an append takes seconds without failing. While a
	// partition is out nothing of its cell starts; a move takes 0.2 s, and the outages last
	// 4 to 7 s.
	stuckTime   = 600 * time.Millisecond
	failedTries = 2
	// answeredTime is how long ago the store must have answered this node otherwise: one
	// that is away as a whole takes no move.
	answeredTime = 400 * time.Millisecond
	// awayTime is for how long it must have answered nothing to have been away: a node calls it
	// each 0.3 s, and it may take 0.35 s to answer. backTime is how long the store must have been back from being away as a whole: a try that
	// was sent while it was silent is given up after 0.8 s, and the next one answered at once.
	awayTime = 750 * time.Millisecond
	backTime = time.Second
	// moveTime bounds the writing of the cell, which takes 40 ms as a rule, to a partition
	// which may be out as well. movePause stands between two tries.
	moveTime  = 500 * time.Millisecond
	movePause = 200 * time.Millisecond
)

// move is how far the owner is with going on in another partition. From the snapshot on
// nothing may be done that it doesn't hold: what a commit would set off is withheld.
type move struct {
	triedAt time.Time
	// awayAt is when the store was last away as a whole.
	awayAt   time.Time
	frozen   bool
	withheld *committed
}

// Messages on a move.
type (
	partitionTaken struct{ number int }
	moveWritten    struct {
		number int
		err    error
	}
)

// considerMove begins to move the cell while the store turns its stream's calls away and
// answers others.
func (o *Owner) considerMove(now time.Time) {
	unheard := now.Sub(o.deps.StoreAnsweredAt())
	if unheard > awayTime {
		o.move.awayAt = now
	}
	if o.move.frozen || now.Sub(o.move.triedAt) < movePause || !o.turnedAway(now) || unheard > answeredTime || now.Sub(o.move.awayAt) < backTime {
		return
	}
	o.move.triedAt = now
	o.deps.Logger.WithField("stuck_ms", o.cell.CommitAge(now).Milliseconds()).Warn("the store doesn't take the cell's records; another partition is sought")
	o.deps.Metrics.Add("moves_tried", 1)
	o.deps.ReservePartition(func(number int) { o.send(partitionTaken{number: number}) })
}

// turnedAway tells whether the store doesn't take the append that is on its way.
func (o *Owner) turnedAway(now time.Time) bool {
	return o.cell.CommitAge(now) >= stuckTime && o.writer.Failed() >= failedTries
}

// apply writes the cell to the partition that was taken for it, unless the store has taken
// the records meanwhile.
func (m partitionTaken) apply(o *Owner, now time.Time) {
	if o.move.frozen || !o.turnedAway(now) {
		return
	}
	o.move.frozen, o.move.triedAt = true, now
	records := o.cell.Snapshot()
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, moveTime)
		defer cancel()
		o.send(moveWritten{number: m.number, err: o.writeTo(ctx, m.number, records)})
		return nil
	})
}

// writeTo writes the cell's records to a partition in which nothing may stand.
func (o *Owner) writeTo(ctx context.Context, number int, records []damsonwinch.Record) error {
	deps := stream.Deps{Store: o.deps.Store, Clock: o.deps.Clock, Metrics: o.deps.Metrics}
	writer := stream.New(deps, o.deps.PartitionStream(number), o.options.Cell, o.options.Token)
	before, err := writer.TakeOver(ctx)
	if err != nil {
		return err
	}
	if len(before) > 0 {
		return errNotEmpty
	}
	for _, batch := range (cell.Commit{Records: records}).Batches(o.options.MaxAppendBytes) {
		if err := writer.Append(ctx, batch, writer.Next()); err != nil {
			return err
		}
	}
	return nil
}

var errNotEmpty = errors.New("the partition holds records of another cell")

// apply has the cell claimed anew in the partition that holds it. Its next owner begins with
// what stands there; this one ends when it sees the claim.
func (m moveWritten) apply(o *Owner, now time.Time) {
	line := o.deps.Logger.WithFields(logrus.Fields{"partition": m.number, "took_ms": now.Sub(o.move.triedAt).Milliseconds()})
	if m.err != nil {
		line.WithError(m.err).Warn("cell not written to another partition")
		o.endMove(now)
		return
	}
	line.Info("cell written to another partition")
	o.deps.MoveClaim(o.options.Cell, o.options.Token, m.number)
}

// endMove goes on as before, with what was withheld.
func (o *Owner) endMove(now time.Time) {
	withheld := o.move.withheld
	o.move = move{triedAt: now, awayAt: o.move.awayAt}
	if withheld != nil {
		withheld.apply(o, now)
	}
}
