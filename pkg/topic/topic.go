// Package topic names the topics of a series, for data that needs more partitions than one topic has.
package topic

import "strconv"

// Name returns the name of the topic with a number in a series of topics. The first has the number
// 1 and the base name; the names of the others end in a hyphen and their number.
func Name(base string, number int) string {
	if number == 1 {
		return base
	}
	return base + "-" + strconv.Itoa(number)
}
