package ownership

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// partitionsKey is the key of the number of partitions in the stream of claims. No cell has
// this name.
const partitionsKey = "@partitions"

// mostPartitionTopics bounds the topics over which the partitions of cells are numbered: the
// platform keeps 100 topics in all.
const mostPartitionTopics = 55

// CellStream returns the stream of the cell of a claim. Cells are numbered through the
// partitions of as many topics as they need.
func CellStream(claim Claim, partitions int) damsonwinch.Stream {
	return PartitionStream(claim.Partition, partitions)
}

// PartitionStream returns the stream of a numbered partition.
func PartitionStream(number, partitions int) damsonwinch.Stream {
	return damsonwinch.Stream{Topic: numbered(cellTopic, 1+number/partitions), Partition: number % partitions}
}

// numbered returns the name of the n-th topic of a kind, from 1.
func numbered(topic string, number int) string {
	if number == 1 {
		return topic
	}
	return topic + "-" + strconv.Itoa(number)
}

// Messages on partitions.
type (
	// partitionWanted asks for a partition that no cell has had, told to a function that
	// must not wait.
	partitionWanted struct{ take func(number int) }
	// partitionTaken is the answer to the append that takes one.
	partitionTaken struct {
		taken int
		end   int
		err   error
	}
	// moveWanted asks for a claim by which a cell that is owned here goes on in another
	// partition, to which its records have been written.
	moveWanted struct {
		cell      string
		token     int
		partition int
	}
)

// ReservePartition takes a partition that no cell has had and tells its number. What the
// function does must not wait.
func (o *Ownership) ReservePartition(take func(number int)) {
	o.send(partitionWanted{take: take})
}

// MoveClaim lets a cell that is owned here by a claim go on in another partition, unless it has
// been claimed since.
func (o *Ownership) MoveClaim(cell string, token, partition int) {
	o.send(moveWanted{cell: cell, token: token, partition: partition})
}

// nextPartition returns the lowest partition that no cell has had.
func (o *Ownership) nextPartition() int {
	next := o.state.taken
	for _, claim := range o.state.claims {
		next = max(next, claim.Partition+1)
	}
	return next
}

// takeOnePartition takes a partition for the first who wants one.
func (o *Ownership) takeOnePartition() {
	s := &o.state
	if len(s.takers) == 0 {
		return
	}
	taken, end := o.nextPartition()+1, s.end
	if taken > mostPartitionTopics*o.options.Partitions {
		o.deps.Logger.WithField("taken", taken).Error("no partition is left for a cell to move to")
		s.takers = nil
		return
	}
	s.claiming = true
	o.group.Go(func() error {
		value, err := json.Marshal(wire.Partitions{Taken: taken})
		if err == nil {
			err = o.appendRecord(damsonwinch.Record{Key: partitionsKey, Value: value}, end)
		}
		o.send(partitionTaken{taken: taken, end: end, err: err})
		return nil
	})
}

// takePartition takes the answer to the append that takes a partition.
func (o *Ownership) takePartition(m partitionTaken) {
	s := &o.state
	done := o.takeAppended(m.err, m.end, o.deps.Logger.WithField("cell", partitionsKey))
	if errors.Is(m.err, damsonwinch.ErrConflict) {
		return
	}
	// Where it isn't known whether it is taken, another one will do.
	s.taken = max(s.taken, m.taken)
	if !done {
		return
	}
	take := s.takers[0]
	s.takers = s.takers[1:]
	o.group.Go(func() error {
		take(m.taken - 1)
		return nil
	})
}

// takePartitions takes the record of the partitions that cells have had.
func (o *Ownership) takePartitions(record damsonwinch.Record) {
	var found wire.Partitions
	if err := json.Unmarshal(record.Value, &found); err != nil {
		o.deps.Logger.WithError(err).Error("number of partitions not understood")
		return
	}
	o.state.taken = max(o.state.taken, found.Taken)
}

// moveOne claims the first cell that is to go on in another partition.
func (o *Ownership) moveOne() {
	s := &o.state
	for cell, m := range s.moves {
		claim := s.claims[cell]
		if claim.Token != m.token || !claim.HeldBy(o.options.Self) {
			delete(s.moves, cell)
			continue
		}
		o.deps.Logger.WithFields(logrus.Fields{"cell": cell, "from": claim.Partition, "to": m.partition}).Info("cell goes on in another partition")
		claim.Partition = m.partition
		o.makeClaim(claim.CellClaim)
		return
	}
}
