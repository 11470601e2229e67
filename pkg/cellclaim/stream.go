package cellclaim

import (
	"strconv"

	"damsonwinch"
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
	return damsonwinch.Stream{Topic: TopicName(cellTopic, 1+number/partitions), Partition: number % partitions}
}

// TopicName returns the name of the topic with a number in a series of topics. The first has the number
// 1 and the base name; the names of the others end in a hyphen and their number.
func TopicName(topic string, number int) string {
	if number == 1 {
		return topic
	}
	return topic + "-" + strconv.Itoa(number)
}
