// Package limit divides a limit of the table among the processes that enforce
// it. Each computes the same shares from the same state, so that the sum keeps
// the limit without messages.
package limit

import "slices"

// Apportion divides a total by weights: each gets its whole part, and what is
// left goes to the largest remainders, the earlier one among equals.
func Apportion(total int, weights []int) []int {
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	shares := make([]int, len(weights))
	if sum == 0 || total <= 0 {
		return shares
	}
	left := total
	order := make([]int, len(weights))
	for i, weight := range weights {
		shares[i] = total * weight / sum
		left -= shares[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return total*weights[b]%sum - total*weights[a]%sum
	})
	for _, i := range order[:left] {
		shares[i]++
	}
	return shares
}

// Share returns one process's part of a total.
func Share(total int, weights []int, index int) int {
	if index < 0 || index >= len(weights) {
		return 0
	}
	return Apportion(total, weights)[index]
}
