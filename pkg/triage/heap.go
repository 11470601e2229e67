package triage

import "container/heap"

// byWorth is a heap of items' places, that of the least worth for what it takes on top.
type byWorth struct {
	items []Item
	order []int
}

var _ heap.Interface = (*byWorth)(nil)

// Len implements heap.Interface.
func (b *byWorth) Len() int { return len(b.order) }

// Less implements heap.Interface. Of equal ones the later goes first, so that choices
// don't change from one time to the next.
func (b *byWorth) Less(i, j int) bool {
	one, other := b.items[b.order[i]], b.items[b.order[j]]
	if left, right := one.Value*other.RemainingWork, other.Value*one.RemainingWork; left != right {
		return left < right
	}
	return b.order[i] > b.order[j]
}

// Swap implements heap.Interface.
func (b *byWorth) Swap(i, j int) { b.order[i], b.order[j] = b.order[j], b.order[i] }

// Push implements heap.Interface. All that is pushed are places.
func (b *byWorth) Push(place any) {
	at, _ := place.(int)
	b.order = append(b.order, at)
}

// Pop implements heap.Interface.
func (b *byWorth) Pop() any {
	last := len(b.order) - 1
	place := b.order[last]
	b.order = b.order[:last]
	return place
}
