package cellclaim

import (
	"context"

	"damsonwinch"
	"damsonwinch/pkg/topic"
)

// cellTopic holds the records of the cells, with one cell per partition.
const cellTopic = "keyed.cells"

// Stream returns the stream that holds the records of a claim's cell. partitions is the number of
// partitions of each topic.
func Stream(claim Claim, partitions int) damsonwinch.Stream {
	return PartitionStream(claim.Partition, partitions)
}

// PartitionStream returns the stream of the partition with a number. The numbers start at 0 and count
// the partitions of the first topic, then those of the second, and so on. partitions is the number of
// partitions of each topic.
func PartitionStream(number, partitions int) damsonwinch.Stream {
	return damsonwinch.Stream{Topic: topic.Name(cellTopic, 1+number/partitions), Partition: number % partitions}
}

// NextPartition returns the lowest number above all partitions that are reserved or that a claim names.
func NextPartition(claims map[string]Claim, reserved int) int {
	next := reserved
	for _, claim := range claims {
		next = max(next, claim.Partition+1)
	}
	return next
}

// lastKey sorts after all keys of a cell's stream. A read of the keys after it returns no records, only
// the end of the stream.
const lastKey = "~"

// StreamEnds reads the end offsets of the streams of the cells that a node has claimed, and returns their sum.
// It grows as long as the node works.
func StreamEnds(ctx context.Context, store damsonwinch.Store, claims []Claim, partitions int) (int, error) {
	sum := 0
	for _, claim := range claims {
		page, err := store.Newest(ctx, Stream(claim, partitions), lastKey)
		if err != nil {
			return 0, err
		}
		sum += page.End
	}
	return sum, nil
}
