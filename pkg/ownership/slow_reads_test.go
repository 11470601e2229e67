package ownership

import (
	"testing"
	"time"
)

// TestNodeReadsTheConflictingRecordFromASlowStore guards against cells without an owner while the store is slow: after a conflict a
// node gave up each read of the record that it lacked before the store could answer it.
func TestNodeReadsTheConflictingRecordFromASlowStore(t *testing.T) {
	store := newMemoryStore()
	store.readTime = 2*conflictReadTimeout - 50*time.Millisecond
	overtaking := claimRecord(t, "one", member("b", 1))
	store.overtaking = &overtaking
	n := startNode(t, store, "a", "two")
	waitUntil(t, "the free cell is owned", func() bool { return n.owns("two") })
}
