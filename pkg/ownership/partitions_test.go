package ownership

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartitionIsReservedOnce lets two nodes reserve partitions. Two cells in one partition would read
// each other's records.
func TestPartitionIsReservedOnce(t *testing.T) {
	store := newMemoryStore()
	nodes := []*testNode{startNode(t, store, "a", "one", "two"), startNode(t, store, "b", "one", "two")}
	waitUntil(t, "both cells have a partition", func() bool { return len(nodes[0].view.Load().Claims) == 2 && len(nodes[1].view.Load().Claims) == 2 })
	var mutex sync.Mutex
	uses := map[int]int{}
	for _, claim := range nodes[0].view.Load().Claims {
		uses[claim.Partition]++
	}
	for range 5 {
		for _, node := range nodes {
			node.ReservePartition(func(number int) {
				mutex.Lock()
				defer mutex.Unlock()
				uses[number]++
			})
		}
	}
	waitUntil(t, "twelve partitions are reserved", func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return len(uses) == 12
	})
	for number, times := range uses {
		assert.Equal(t, times, 1, "partition %d", number)
	}
}

// TestPartitionWithUnknownReservationIsSkipped loses the response to the append that reserves a
// partition. The partition may be reserved, so the next one is used instead.
func TestPartitionWithUnknownReservationIsSkipped(t *testing.T) {
	store := newMemoryStore()
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
	store.locked(func() { store.failures = 1 })
	numbers := make(chan int, 1)
	n.ReservePartition(func(number int) { numbers <- number })
	assert.Equal(t, <-numbers, 2)
}

// TestMovedClaimNamesNewPartition moves a cell to another partition by a newer claim of its owner, and
// checks that a move for an outdated claim does nothing.
func TestMovedClaimNamesNewPartition(t *testing.T) {
	store := newMemoryStore()
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
	token := n.view.Load().Claims["one"].Token

	n.MoveClaim("one", token, 7)

	waitUntil(t, "the claim names the partition", func() bool { return n.view.Load().Claims["one"].Partition == 7 })
	assert.Assert(t, n.owns("one") && n.view.Load().Claims["one"].Token > token)
	n.MoveClaim("one", token, 9)
	n.MoveClaim("two", token, 9)
	n.SetCells([]string{"one", "three"})
	waitUntil(t, "the cell that was added later is owned", func() bool { return n.owns("three") })
	assert.Equal(t, n.view.Load().Claims["one"].Partition, 7, "a move for an outdated claim has had an effect")
	assert.Equal(t, n.view.Load().Claims["three"].Partition, 8, "the new cell has not got the next free partition")
}
