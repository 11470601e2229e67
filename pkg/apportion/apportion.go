// Package apportion divides a limit of the configured table (package table) among the processes that
// enforce it. Each process computes the same shares from the same state. So the shares add up to the
// limit without messages between the processes.
package apportion

import "slices"

// Apportion divides a total in proportion to weights, by the largest remainder method: each share
// is rounded down, and the units that are left go to the shares with the largest remainders, one each.
// Of equal remainders the first comes first. The shares are 0 if all weights are, or if the total isn't
// positive. Weights must not be negative.
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
	byRemainder := make([]int, len(weights))
	for i, weight := range weights {
		shares[i] = total * weight / sum
		left -= shares[i]
		byRemainder[i] = i
	}
	slices.SortStableFunc(byRemainder, func(a, b int) int {
		return total*weights[b]%sum - total*weights[a]%sum
	})
	for _, i := range byRemainder[:left] {
		shares[i]++
	}
	return shares
}

// Share returns the share that Apportion gives to the process with the given index in weights, 0 for an
// index out of range.
func Share(total int, weights []int, index int) int {
	if index < 0 || index >= len(weights) {
		return 0
	}
	return Apportion(total, weights)[index]
}
