package cellclaim

import (
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
