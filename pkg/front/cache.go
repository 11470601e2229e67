package front

// cache holds what follows from the folded state alone and is asked for with
// every request. It is emptied whenever the fleet changes.
type cache struct {
	boxes  map[string][]*ownBox
	slots  map[string]int
	shares map[shareKey]int
}

// shareKey names this entry's part of a limit on a pool.
type shareKey struct {
	total int
	pool  string
}

func newCache() cache {
	return cache{boxes: map[string][]*ownBox{}, slots: map[string]int{}, shares: map[shareKey]int{}}
}

// ownBoxes returns this entry's boxes of a pool.
func (e *Entry) ownBoxes(pool string) []*ownBox {
	known, cached := e.cache.boxes[pool]
	if cached {
		return known
	}
	for _, box := range e.boxes {
		if box.Pool == pool {
			known = append(known, box)
		}
	}
	e.cache.boxes[pool] = known
	return known
}

// ownSlots returns the slots that this entry has in a pool.
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

// limitShare returns this entry's part of a limit on a pool, by the slots that each
// sender has there.
func (e *Entry) limitShare(total int, pool string) int {
	key := shareKey{total: total, pool: pool}
	share, cached := e.cache.shares[key]
	if !cached {
		share = e.computeLimitShare(total, pool)
		e.cache.shares[key] = share
	}
	return share
}
