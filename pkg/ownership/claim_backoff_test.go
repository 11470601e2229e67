package ownership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNodesThatClaimAtOnceTryFewAppends checks growth: after all nodes of a fleet have been restarted at the same
// moment, each claims the cell that it owned before. The store carries out the appends in turn, and only one
// of those for the same offset succeeds. When each node tried again as soon as it had read the newest record,
// four times the nodes tried sixteen times as many appends: 20 for each claim of 40 nodes.
func TestNodesThatClaimAtOnceTryFewAppends(t *testing.T) {
	const size, maxAppendsPerClaim = 10, 6
	for _, count := range []int{size, 2 * size, 4 * size} {
		store := newMemoryStore()
		store.appendTime = 4 * time.Millisecond
		var cells []string
		for number := range count {
			cell, earlier := fmt.Sprintf("cell-%03d", number), member(fmt.Sprintf("node-%03d", number), 1)
			cells = append(cells, cell)
			store.appendRecord(claimRecord(t, cell, earlier))
			store.members = append(store.members, earlier.Name())
		}
		var nodes []*testNode
		for number := range count {
			nodes = append(nodes, startMember(t, store, member(fmt.Sprintf("node-%03d", number), 2), cells...))
		}
		waitUntil(t, "all nodes own their cells", func() bool {
			for number, n := range nodes {
				if !n.owns(cells[number]) {
					return false
				}
			}
			return true
		})
		store.locked(func() {
			t.Logf("%d nodes: %d appends", count, store.appends)
			assert.Assert(t, store.appends <= maxAppendsPerClaim*count, "%d appends of %d nodes", store.appends, count)
		})
	}
}
