package entry

// cache holds values that are computed from the log's state alone and are needed for every request. It
// is replaced by an empty one whenever the fleet changes.
type cache struct {
	boxes  map[string][]*ownBox // By pool.
	slots  map[string]int       // By pool.
	shares map[shareKey]int
}

// shareKey identifies this entry's share of a limit, total, on a pool.
type shareKey struct {
	total int
	pool  string
}

func newCache() cache {
	return cache{boxes: map[string][]*ownBox{}, slots: map[string]int{}, shares: map[shareKey]int{}}
}

// ownBoxes returns this entry's boxes of a pool.
func (e *Entry) ownBoxes(pool string) []*ownBox {
	boxes, cached := e.cache.boxes[pool]
	if cached {
		return boxes
	}
	for _, box := range e.boxes {
		if box.Pool == pool {
			boxes = append(boxes, box)
		}
	}
	e.cache.boxes[pool] = boxes
	return boxes
}

// ownSlots returns the number of slots on this entry's boxes of a pool that accept work.
func (e *Entry) ownSlots(pool string) int {
	slots, cached := e.cache.slots[pool]
	if cached {
		return slots
	}
	for _, box := range e.ownBoxes(pool) {
		if box.AcceptsWork() {
			slots += box.Info.Slots
		}
	}
	e.cache.slots[pool] = slots
	return slots
}

// limitShare returns this entry's share of a limit, total, on a pool. The limit is divided among the
// entries in proportion to their slots in the pool.
func (e *Entry) limitShare(total int, pool string) int {
	key := shareKey{total: total, pool: pool}
	share, cached := e.cache.shares[key]
	if !cached {
		share = e.computeLimitShare(total, pool)
		e.cache.shares[key] = share
	}
	return share
}
