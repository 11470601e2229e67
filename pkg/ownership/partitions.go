package ownership

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
)

// maxCellTopics is the largest number of topics that hold the partitions of cells. The platform allows
// 100 topics in all.
const maxCellTopics = 55

// Messages about partitions.
type (
	// partitionRequested asks run to reserve a partition and to pass its number to onReserved, which must
	// not block.
	partitionRequested struct{ onReserved func(number int) }
	// partitionAppended is the result of the append that reserves a partition. reserved is the number
	// of reserved partitions including this one.
	partitionAppended struct {
		reserved int
		end      int
		err      error
	}
	// moveRequested asks run to claim a cell again with another partition, to which the cell's records
	// have been copied. token is that of the claim to replace.
	moveRequested struct {
		cell      string
		token     int
		partition int
	}
)

// ReservePartition reserves a partition that no cell has ever used, and passes its number to onReserved, which
// must not block. If no partition is left, onReserved is never called.
func (o *Ownership) ReservePartition(onReserved func(number int)) {
	o.send(partitionRequested{onReserved: onReserved})
}

// MoveClaim claims a cell of this node again, with the number of another partition for its records. It
// does nothing if token is not that of the cell's newest claim.
func (o *Ownership) MoveClaim(cell string, token, partition int) {
	o.send(moveRequested{cell: cell, token: token, partition: partition})
}

// reserveNextPartition starts to reserve a partition for the first of partitionWaiters. If no partition
// is left, it drops all waiters.
func (o *Ownership) reserveNextPartition() {
	s := &o.state
	if len(s.partitionWaiters) == 0 {
		return
	}
	reserved, end := cellclaim.NextPartition(s.claims, s.reservedPartitions)+1, s.claimsEnd
	if reserved > maxCellTopics*o.options.Partitions {
		o.deps.Logger.WithField("taken", reserved).Error("no partition is left for a cell to move to")
		s.partitionWaiters = nil
		return
	}
	s.appendPending = true
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		o.send(partitionAppended{reserved: reserved, end: end, err: o.writer.AppendPartitions(ctx, reserved, end)})
		return nil
	})
}

// handlePartitionAppended handles the result of the append that reserves a partition.
func (o *Ownership) handlePartitionAppended(m partitionAppended) {
	s := &o.state
	succeeded := o.finishAppend(m.err, m.end, o.deps.Logger.WithField("cell", cellclaim.PartitionsKey))
	if errors.Is(m.err, damsonwinch.ErrConflict) {
		return
	}
	// After an append with an unknown outcome the partition may be reserved: the next try uses another.
	s.reservedPartitions = max(s.reservedPartitions, m.reserved)
	if !succeeded {
		return
	}
	onReserved := s.partitionWaiters[0]
	s.partitionWaiters = s.partitionWaiters[1:]
	o.group.Go(func() error {
		onReserved(m.reserved - 1)
		return nil
	})
}

// applyPartitions applies the record of the number of reserved partitions.
func (o *Ownership) applyPartitions(record damsonwinch.Record) {
	reserved, err := cellclaim.DecodePartitions(record)
	if err != nil {
		o.deps.Logger.WithError(err).Error("number of reserved partitions cannot be decoded")
		return
	}
	o.state.reservedPartitions = max(o.state.reservedPartitions, reserved)
}

// moveNextClaim starts to append the claim of a cell that moves to another partition, and removes the
// requests for claims that have been replaced.
func (o *Ownership) moveNextClaim() {
	s := &o.state
	for cell, m := range s.pendingMoves {
		claim := s.claims[cell]
		if claim.Token != m.token || !claim.HeldBy(o.options.Self) {
			delete(s.pendingMoves, cell)
			continue
		}
		o.deps.Logger.WithFields(logrus.Fields{"cell": cell, "from": claim.Partition, "to": m.partition}).Info("cell moves to another partition")
		claim.Partition = m.partition
		o.startClaimAppend(claim.CellClaim)
		return
	}
}
