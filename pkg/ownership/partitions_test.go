package ownership

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAPartitionIsTakenOnce by whichever node: two cells in one would read each other's
// records.
func TestAPartitionIsTakenOnce(t *testing.T) {
	store := newMemoryStore()
	nodes := []*watched{start(t, store, "a", "one", "two"), start(t, store, "b", "one", "two")}
	until(t, "both cells have a partition", func() bool { return len(nodes[0].view.Load().Claims) == 2 && len(nodes[1].view.Load().Claims) == 2 })
	var mutex sync.Mutex
	taken := map[int]int{}
	for _, claim := range nodes[0].view.Load().Claims {
		taken[claim.Partition]++
	}
	for range 5 {
		for _, node := range nodes {
			node.ReservePartition(func(number int) {
				mutex.Lock()
				defer mutex.Unlock()
				taken[number]++
			})
		}
	}
	until(t, "twelve partitions are taken", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(taken) == 12
	})
	for number, times := range taken {
		assert.Equal(t, times, 1, "partition %d", number)
	}
}

// TestAPartitionThatMayBeTakenIsLeft when the answer to the record that takes it is lost.
func TestAPartitionThatMayBeTakenIsLeft(t *testing.T) {
	store := newMemoryStore()
	w := start(t, store, "a", "one")
	until(t, "the cell is owned", func() bool { return w.owns("one") })
	store.set(func() { store.fail = 1 })
	numbers := make(chan int, 1)
	w.ReservePartition(func(number int) { numbers <- number })
	assert.Equal(t, <-numbers, 2)
}

// TestACellGoesOnInAnotherPartition by a newer claim of the node that owns it.
func TestACellGoesOnInAnotherPartition(t *testing.T) {
	store := newMemoryStore()
	w := start(t, store, "a", "one")
	until(t, "the cell is owned", func() bool { return w.owns("one") })
	token := w.view.Load().Claims["one"].Token

	w.MoveClaim("one", token, 7)

	until(t, "the claim names the partition", func() bool { return w.view.Load().Claims["one"].Partition == 7 })
	assert.Assert(t, w.owns("one") && w.view.Load().Claims["one"].Token > token)
	w.MoveClaim("one", token, 9)
	w.MoveClaim("two", token, 9)
	w.SetCells([]string{"one", "three"})
	until(t, "a cell is owned that came later", func() bool { return w.owns("three") })
	assert.Equal(t, w.view.Load().Claims["one"].Partition, 7, "a claim that has been followed moves nothing")
	assert.Equal(t, w.view.Load().Claims["three"].Partition, 8, "a partition that no cell has had")
}
