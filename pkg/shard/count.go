package shard

import "slices"

// Grounds of the number of shards.
const (
	// boxesPerCore is the number of busy boxes whose work a whole core can see to: one of
	// 32 cores ends some 4.5 tasks a second when demand is at its highest, and a task takes
	// its owner 0.25 ms. More than half of the core is left for takeovers, clients' calls
	// and a machine that is slower than it should be.
	boxesPerCore = 400
	// busyPercent is the part of a fleet's boxes, in percent, that a single pool may have
	// when demand turns to it.
	busyPercent = 80
	// milliPerCore is a core in the unit of weights.
	milliPerCore = 1000
)

// ChooseCount returns into how many shards a fleet is best cut: as few as the nodes that would
// own the cells can carry, each one cell, or as leave them the least to carry. The weights
// are what the nodes can carry, in thousandths of a core.
func ChooseCount(boxes, pools int, weights []int) int {
	if pools == 0 || len(weights) == 0 {
		return 1
	}
	strongest := slices.Clone(weights)
	slices.SortFunc(strongest, func(a, b int) int { return b - a })
	best, bestLoad := 1, 0.0
	for count := 1; count == 1 || count*pools <= len(strongest); count++ {
		load := load(boxes, count, strongest[min(count*pools, len(strongest))-1])
		if count == 1 || load < bestLoad {
			best, bestLoad = count, load
		}
		if load <= 1 {
			return count
		}
	}
	return best
}

// load returns how many times as much as it can a node of a weight carries that owns a cell
// of a fleet in so many shards.
func load(boxes, count, weight int) float64 {
	busy := float64(boxes) * busyPercent / 100 / float64(count)
	return busy / (float64(max(1, weight)) * boxesPerCore / milliPerCore)
}
