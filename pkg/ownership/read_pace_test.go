package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/claimpace"
)

// TestReadsDoNotGrowWithTheCells checks growth: while a fleet starts, each cell is claimed, and each node read
// each of these claims by itself. Cells and nodes grow with the fleet, so that the reads grew with its square.
func TestReadsDoNotGrowWithTheCells(t *testing.T) {
	const size = 50
	clock := clockwork.NewRealClock()
	for _, count := range []int{size, 2 * size, 4 * size} {
		store, start := newMemoryStore(), clock.Now()
		n := startNode(t, store, "a")
		for number := range count {
			cell := fmt.Sprintf("cell-%03d", number)
			store.locked(func() { store.appendRecord(claimRecord(t, cell, member("b", 1))) })
			clock.Sleep(5 * time.Millisecond)
		}
		waitUntil(t, "all claims are known", func() bool { return len(n.view.Load().Claims) == count })
		took := clock.Since(start)
		store.locked(func() {
			t.Logf("%d cells: %d reads in %v", count, store.claimReads, took)
			most := claimpace.ReadBurst + 2 + int(claimpace.ReadsPerSec*took.Seconds())
			assert.Assert(t, store.claimReads <= most, "%d reads of %d claims in %v", store.claimReads, count, took)
		})
	}
}
