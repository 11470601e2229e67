// Package shardplan decides when the division of a fleet into cells is made, and with how many shards. It does no I/O
// and reads no clock.
//
// The division is made once, and it depends on the members of the group of nodes. A list of members may stay incomplete
// for good, so the decision doesn't wait for it longer than for a bounded time.
package shardplan

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch/pkg/shard"
)

// maxListWait is how long after the first read of the members the decision waits for a complete list. A fleet of 300
// nodes on topics of 12 partitions knows all members 5 s after its start.
const maxListWait = 6 * time.Second

// Input is what the node that decides knows.
type Input struct {
	// Boxes is the number of boxes of the fleet, or 0 if it isn't known.
	Boxes int
	// Pools are the names of the pools whose boxes are powered on.
	Pools []string
	// Weights are those of the members that the group lists, in thousandths of a core, and Announced those of the
	// members that have announced themselves.
	Weights   []int
	Announced []int
	// Complete reports whether all members are known. If not, MaxMissing is an estimate of how many are not.
	Complete   bool
	MaxMissing int
	// SinceFirstRead is the time since the members were first read, or 0 if they have not been read.
	SinceFirstRead time.Duration
}

// Decision is a layout, or what the decision waits for.
type Decision struct {
	// Layout is the zero value if WaitsFor is set.
	Layout   shard.Layout
	WaitsFor string
	// Assumed is the number of members that the layout takes into account although they are not known.
	Assumed int
	// Incomplete reports whether the layout was decided without a complete list of members.
	Incomplete bool
}

// Decide returns the layout of a fleet, or what has to be known first.
func Decide(in Input) Decision {
	switch {
	case len(in.Pools) == 0:
		return Decision{WaitsFor: "no pool with powered-on boxes is configured"}
	case in.Boxes == 0:
		return Decision{WaitsFor: "the number of boxes is not known"}
	case len(in.Weights) == 0:
		return Decision{WaitsFor: "no member is known"}
	}
	// One shard is decided on at once. More shards than that have to wait for the members that they are for.
	count, known := shard.ChooseCount(in.Boxes, len(in.Pools), in.Weights), slices.Concat(in.Weights, in.Announced)
	if count > 1 {
		count = shard.ChooseCount(in.Boxes, len(in.Pools), known)
	}
	if in.Complete || count == 1 {
		return Decision{Layout: shard.New(count, in.Pools)}
	}
	if in.SinceFirstRead < maxListWait {
		return Decision{WaitsFor: fmt.Sprintf("the list of members is not complete: %d are known, up to %d may be missing, waited %d of %d ms",
			len(known), in.MaxMissing, in.SinceFirstRead.Milliseconds(), maxListWait.Milliseconds())}
	}
	count = shard.ChooseCount(in.Boxes, len(in.Pools), withAssumed(known, in.MaxMissing))
	return Decision{Layout: shard.New(count, in.Pools), Assumed: in.MaxMissing, Incomplete: true}
}

// withAssumed returns the weights of the known members and as many as are missing with the median weight of the known
// ones. A choice by the known members alone takes those that are missing for absent: 60 owners were once given far too
// large cells by it, and cells are never divided later.
func withAssumed(weights []int, missing int) []int {
	sorted := slices.Sorted(slices.Values(weights))
	return append(sorted, slices.Repeat([]int{sorted[len(sorted)/2]}, missing)...)
}
