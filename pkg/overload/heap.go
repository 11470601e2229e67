package overload

import "container/heap"

// valueHeap is a heap of items, given by their indexes. Items over their customers' shares come
// first; among equals the one with the least value per remaining work is on top.
type valueHeap struct {
	items []Item
	order []int
}

var _ heap.Interface = (*valueHeap)(nil)

// Len implements heap.Interface.
func (h *valueHeap) Len() int { return len(h.order) }

// Less implements heap.Interface. Of two equal items the one with the higher index is less, so that
// the order never depends on chance.
func (h *valueHeap) Less(i, j int) bool {
	a, b := h.items[h.order[i]], h.items[h.order[j]]
	if a.OverShare != b.OverShare {
		return a.OverShare
	}
	if left, right := a.Value*b.RemainingWork, b.Value*a.RemainingWork; left != right {
		return left < right
	}
	return h.order[i] > h.order[j]
}

// Swap implements heap.Interface.
func (h *valueHeap) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }

// Push implements heap.Interface. The value is the index of an item, an int.
func (h *valueHeap) Push(index any) {
	i, _ := index.(int)
	h.order = append(h.order, i)
}

// Pop implements heap.Interface. It returns the index of an item, an int.
func (h *valueHeap) Pop() any {
	last := len(h.order) - 1
	index := h.order[last]
	h.order = h.order[:last]
	return index
}
