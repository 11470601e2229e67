package shard

import "damsonwinch"

// Placement tells to which shard an order of the planner takes a box. The new shard applies from the next
// life of the endpoint on the box: the life that the order ends has an owner, who may still have work
// there.
type Placement struct {
	// Pool is the pool to which the box moves; empty if it stays where it is.
	Pool string
	// Life is the life that the order ends; empty if no endpoint runs there.
	Life damsonwinch.Life
	// Shard is the number of the box's shard after the order, PreviousShard that of its shard while
	// Life goes on.
	Shard         int
	PreviousShard int
}

// LifeShard returns the shard of a box while the given life of its endpoint goes on in the given pool. The
// placement is that of the newest order on the box, nil if there has been none. The result stays the same
// until the life ends, whatever orders follow.
func (l Layout) LifeShard(box, pool string, life damsonwinch.Life, placement *Placement) int {
	if placement == nil {
		return l.BoxShard(box)
	}
	number := placement.PreviousShard
	if !life.MayBeSame(placement.Life) && (placement.Pool == "" || placement.Pool == pool) {
		number = placement.Shard
	}
	if number < 0 || number >= max(1, l.Shards) {
		return l.BoxShard(box)
	}
	return number
}
