package shard

import "slices"

const (
	// boxesPerCore is the number of busy boxes whose tasks one core of a node can handle: at the
	// highest demand a box of 32 cores finishes some 4.5 tasks a second, and each task costs the
	// node that owns its cell 0.25 ms. That leaves more than half of the core for takeovers,
	// clients' calls and a machine that is slower than it should be.
	boxesPerCore = 400
	// busyPercent is the part of a fleet's boxes that a single pool may have when demand moves to it.
	busyPercent = 80
	// milliPerCore is one core in the unit of the nodes' weights.
	milliPerCore = 1000
)

// ChooseCount returns the number of shards for a fleet, given its numbers of boxes and pools and the
// weights of the nodes, which are their capacities in thousandths of a core. Each cell is owned by one
// node, and the strongest nodes own cells first. The result is the smallest number of shards with which
// none of these nodes is overloaded; if there is none, the number with which the most loaded node has
// the smallest load.
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

// load returns the load of a node of the given weight that owns one cell of a fleet with the given
// numbers of boxes and shards. A load of 1 is the most that the node can carry.
func load(boxes, shards, weight int) float64 {
	busy := float64(boxes) * busyPercent / 100 / float64(shards)
	return busy / (float64(max(1, weight)) * boxesPerCore / milliPerCore)
}
