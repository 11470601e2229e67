package boxplan

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// HandleRecorded handles that an order which Plan has returned is recorded, and reports whether it may be sent to the
// platform. Recording takes seconds while the store is slow. If the life that the order ends has exited meanwhile, a
// later one, with tasks and not withdrawn, would end in its place. The order then counts as one that the platform has
// refused.
func (p *Planner) HandleRecorded(order Order) bool {
	b := p.boxes[order.Box]
	if b == nil || b.issued == nil || b.issued.Order != order {
		return false
	}
	if b.mayStillEnd(order.Life) && !p.mayBeInUse(b) {
		return true
	}
	b.issued.inFlight = false
	return false
}

// mayStillEnd reports whether the issued order on a box would end the given life, or none. A box that isn't up may be
// down because of an order that an earlier planner has sent.
func (b *box) mayStillEnd(life damsonwinch.Life) bool {
	if b.info.State != damsonwinch.BoxUp {
		return b.issued.inherited
	}
	return !b.issued.lifeExited && b.life.MayBeSame(life)
}

// Record returns the record of an order that is decided at now.
func (o Order) Record(now time.Time) wire.OrderRecord {
	return wire.OrderRecord{
		Box: o.Box, Pool: o.Pool, Wave: o.Wave, AtMs: int(now.UnixMilli()), Endpoint: o.Life.String(), Cause: o.Cause,
		Placement: &wire.PlacementRecord{Shard: o.Shard, Before: o.PreviousShard},
	}
}

// PlacementFromRecord returns the placement that a recorded order gives to its box; nil if the record
// has none.
func PlacementFromRecord(record wire.OrderRecord) *shard.Placement {
	if record.Placement == nil {
		return nil
	}
	return &shard.Placement{Pool: record.Pool, Life: damsonwinch.ParseLife(record.Endpoint), Shard: record.Placement.Shard, PreviousShard: record.Placement.Before}
}
