package shard

import "damsonwinch"

// Placement is to which shard an order of the planner takes a box. It counts from the box's
// next life on: the one that the order ends has an owner, who may still have work there.
type Placement struct {
	// Pool is where the box goes; empty if it stays where it is.
	Pool string
	// Life is the life that the order ends, empty for none.
	Life damsonwinch.Life
	// Shard is the box's shard after that, and Before its shard until then.
	Shard         int
	PreviousShard int
}

// LifeShard returns the shard of a box's life in a pool, by the newest order on the box, if
// there is one. It stays the same for as long as that life does.
func (l Layout) LifeShard(box, pool string, life damsonwinch.Life, placed *Placement) int {
	if placed == nil {
		return l.BoxShard(box)
	}
	number := placed.PreviousShard
	if !life.MayBeSame(placed.Life) && (placed.Pool == "" || placed.Pool == pool) {
		number = placed.Shard
	}
	if number < 0 || number >= max(1, l.Shards) {
		return l.BoxShard(box)
	}
	return number
}
