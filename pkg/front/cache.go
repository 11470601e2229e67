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

// inPool returns this entry's boxes of a pool.
func (f *Entry) inPool(pool string) []*ownBox {
	known, cached := f.cache.boxes[pool]
	if cached {
		return known
	}
	for _, box := range f.boxes {
		if box.Pool == pool {
			known = append(known, box)
		}
	}
	f.cache.boxes[pool] = known
	return known
}

// ownSlots returns the slots that this entry has in a pool.
func (f *Entry) ownSlots(pool string) int {
	slots, cached := f.cache.slots[pool]
	if cached {
		return slots
	}
	for _, box := range f.inPool(pool) {
		if box.AcceptsWork() {
			slots += box.Info.Slots
		}
	}
	f.cache.slots[pool] = slots
	return slots
}

// shareOf returns this entry's part of a limit on a pool, by the slots that each
// sender has there.
func (f *Entry) shareOf(total int, pool string) int {
	key := shareKey{total: total, pool: pool}
	share, cached := f.cache.shares[key]
	if !cached {
		share = f.computeShare(total, pool)
		f.cache.shares[key] = share
	}
	return share
}
