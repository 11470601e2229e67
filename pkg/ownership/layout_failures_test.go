package ownership

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
)

// TestLayoutIsNotInForceBeforeItsRecordIsAppended guards against jobs in cells that no other node knows: the node that
// decides must not use a layout that it can't append.
func TestLayoutIsNotInForceBeforeItsRecordIsAppended(t *testing.T) {
	store := newMemoryStore()
	a, b := startNode(t, store, "a"), startNode(t, store, "b")
	waitUntil(t, "the claims have been read", func() bool { return !a.view.Load().ConfirmedAt.IsZero() })
	store.locked(func() { store.failures = 1000 })
	a.ProposeLayout(shard.New(3, []string{"p"}))
	waitUntil(t, "several appends have failed", func() bool {
		tried := 0
		store.locked(func() { tried = store.appends })
		return tried >= 3
	})
	assert.Assert(t, !a.view.Load().Layout.Decided() && !b.view.Load().Layout.Decided())
	store.locked(func() { store.failures = 0 })
	waitUntil(t, "the layout is in force on both nodes", func() bool {
		return a.view.Load().Layout.Decided() && b.view.Load().Layout.Decided()
	})
}

// TestLayoutOfAKilledNodeStays guards against a second layout: the node that decided is killed after the append, and the
// next one has another proposal.
func TestLayoutOfAKilledNodeStays(t *testing.T) {
	store := newMemoryStore()
	a := startNode(t, store, "a")
	a.ProposeLayout(shard.New(3, []string{"p"}))
	waitUntil(t, "the layout has been appended", func() bool {
		appended := 0
		store.locked(func() { appended = len(store.claims) })
		return appended > 0
	})
	assert.NilError(t, a.Close())
	b := startNode(t, store, "b")
	b.ProposeLayout(shard.New(5, []string{"p"}))
	waitUntil(t, "a layout is in force", func() bool { return b.view.Load().Layout.Decided() })
	assert.Equal(t, b.view.Load().Layout.Shards, 3)
	store.locked(func() { assert.Equal(t, len(store.claims), 1) })
}

// TestMembersThatJoinAfterTheDecisionTakeNoNewCells guards against cells beyond the layout, and against announcements
// that never end: nodes that join later know the layout, announce nothing, and leave the cells to their owners.
func TestMembersThatJoinAfterTheDecisionTakeNoNewCells(t *testing.T) {
	store := newMemoryStore()
	store.group = newAssigningGroup(1, 1)
	cells := append([]string{"@fleet"}, shard.New(2, []string{"p"}).CellNames("p")...)
	a := startNode(t, store, "a", cells...)
	a.ProposeLayout(shard.New(2, []string{"p"}))
	waitUntil(t, "all cells are owned", func() bool { return len(a.view.Load().Claims) == len(cells) })
	before := len(a.view.Load().Announced)
	late := []*testNode{startNode(t, store, "b", cells...), startNode(t, store, "c", cells...)}
	store.awaitJoins(t, 3, 8)
	for _, n := range late {
		assert.Assert(t, n.view.Load().Layout.Equal(shard.New(2, []string{"p"})))
		assert.Equal(t, len(n.view.Load().Claims), len(cells))
		assert.Assert(t, !n.owns("@fleet") && !n.owns("p") && !n.owns("p@1"))
	}
	assert.Equal(t, len(a.view.Load().Announced), before)
}
