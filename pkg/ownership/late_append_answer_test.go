package ownership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// startWithLateAnswer starts the node a, which claims the cell one, then others. Before its first append is answered, the
// node b claims a cell, and a reads that claim.
func startWithLateAnswer(t *testing.T, claimedByB string, others ...string) *testNode {
	t.Helper()
	store := newMemoryStore()
	store.replying["b:1"] = member("b", 1)
	n := startNode(t, store, "a")
	answered := make(chan struct{})
	store.locked(func() {
		store.delayAnswer = func() {
			defer close(answered)
			store.locked(func() { store.appendRecord(claimRecord(t, claimedByB, member("b", 1))) })
			waitUntil(t, "the claim of b has been read", func() bool { return n.isOwner(claimedByB, "b") })
		}
	})
	n.SetCells(append([]string{"one"}, others...))
	<-answered
	return n
}

// isOwner reports whether a node owns a cell, in the newest view of n.
func (n *testNode) isOwner(cell, node string) bool {
	claim, owned := n.view.Load().Owner(cell)
	return owned && claim.Node == node
}

// TestNodeClaimsCellsAfterALateAnswer guards against cells without an owner: a node whose append was answered after
// it had read a newer record went back to an offset before that record, and appended nothing more.
func TestNodeClaimsCellsAfterALateAnswer(t *testing.T) {
	n := startWithLateAnswer(t, "three", "two")
	waitUntil(t, "the other cell is owned", func() bool { return n.isOwner("two", "a") })
}

// TestLateAnswerDoesNotReplaceANewerClaim guards against two owners of a cell: a node whose claim was answered after it had
// read another node's newer claim of the cell took its own for the newest one.
func TestLateAnswerDoesNotReplaceANewerClaim(t *testing.T) {
	n := startWithLateAnswer(t, "one", "two")
	waitUntil(t, "the other cell is owned", func() bool { return n.isOwner("two", "a") })
	assert.Assert(t, n.isOwner("one", "b"))
}
