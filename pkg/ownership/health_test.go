package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/membership"
)

// TestOwnerMissingFromFullListKeepsItsCell checks that an owner that replies keeps its cell. The group
// lists at most as many members as it has partitions, so a node that isn't listed may be alive.
func TestOwnerMissingFromFullListKeepsItsCell(t *testing.T) {
	store := newMemoryStore()
	store.listFull = true
	unlisted := member("z", 1)
	store.appendRecord(claimRecord(t, "one", unlisted))
	store.replying[unlisted.Address] = unlisted
	n := startNode(t, store, "a", "one", "two")
	waitUntil(t, "the free cell is owned", func() bool { return n.owns("two") })

	clockwork.NewRealClock().Sleep(5 * time.Second / 2)

	assert.Assert(t, !n.owns("one"), "the cell was taken from an owner that is alive")
	store.locked(func() { delete(store.replying, unlisted.Address) })
	waitUntil(t, "the cell of an owner that has exited is owned", func() bool { return n.owns("one") })
}

// TestOwnerCutOffFromStoreLosesItsCell checks that an owner that is cut off from the store loses its
// cell although it replies to health checks, because it can start nothing.
func TestOwnerCutOffFromStoreLosesItsCell(t *testing.T) {
	store := newMemoryStore()
	owner := member("z", 1)
	store.appendRecord(claimRecord(t, "one", owner))
	store.replying[owner.Address], store.cutOff[owner.Address] = owner, true
	n := startNode(t, store, "a", "one")

	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
}

// TestRestartedOwnersKeepTheirCells restarts a fleet whose group has fewer partitions than there are
// nodes. After a power failure the weakest of the listed nodes took the cells from strong nodes that
// were alive.
func TestRestartedOwnersKeepTheirCells(t *testing.T) {
	store := newMemoryStore()
	store.partitionsPerTopic = 2
	cells := []string{"one", "two"}
	strong := membership.Member{Node: "y", Address: "y:1", Weight: 800, Incarnation: 2}
	other := membership.Member{Node: "z", Address: "z:1", Weight: 800, Incarnation: 2}
	for cell, owner := range map[string]membership.Member{"one": strong, "two": other} {
		owner.Incarnation = 1
		store.appendRecord(claimRecord(t, cell, owner))
	}
	var weak []*testNode
	for number := range 10 {
		name := fmt.Sprintf("node-%d", number)
		weak = append(weak, startMember(t, store, membership.Member{Node: name, Address: name + ":1", Weight: 19, Incarnation: 2}, cells...))
	}
	first, second := startMember(t, store, strong, cells...), startMember(t, store, other, cells...)
	waitUntil(t, "the owners have claimed their cells again", func() bool { return first.owns("one") && second.owns("two") })

	clock := clockwork.NewRealClock()
	for start := clock.Now(); clock.Since(start) < 4*time.Second; clock.Sleep(20 * time.Millisecond) {
		for _, n := range weak {
			assert.Assert(t, !n.owns("one") && !n.owns("two"), "%s has taken a cell from an owner that is alive", n.options.Self.Node)
		}
	}
	store.locked(func() {
		assert.Equal(t, len(store.claims), 2*len(cells), "an owner has claimed its cell more than once")
	})
}

// TestLivesOfOneNodeAreCheckedApart guards against two lives of a node that replace each other in what is known of their
// health: each pass checked both again at once, and each reply caused the next pass.
func TestLivesOfOneNodeAreCheckedApart(t *testing.T) {
	store := newMemoryStore()
	earlier, later := member("z", 1), member("z", 2)
	store.appendRecord(claimRecord(t, "one", earlier))
	store.appendRecord(claimRecord(t, "two", later))
	store.replying[later.Address] = later
	clock := clockwork.NewRealClock()
	startedAt := clock.Now()
	n := startNode(t, store, "a", "one", "two")

	waitUntil(t, "the cell of the earlier life is owned", func() bool { return n.owns("one") })

	clock.Sleep(time.Second)
	assert.Assert(t, !n.owns("two"), "the cell was taken from a life that replies")
	checks, intervals := store.healthChecks.Load(), int64(clock.Since(startedAt)/checkInterval)
	assert.Assert(t, checks <= 2*(intervals+1), "%d health checks of two lives in %d intervals", checks, intervals)
}

// TestWeakNodeHandsCellOverToStrongNode lets a weak node claim a cell while a far stronger node is
// gone. The weak node would make no progress with the cell.
func TestWeakNodeHandsCellOverToStrongNode(t *testing.T) {
	store := newMemoryStore()
	weak := startMember(t, store, membership.Member{Node: "a", Address: "a:1", Weight: 19, Incarnation: 1}, "one")
	waitUntil(t, "the cell is owned", func() bool { return weak.owns("one") })

	strong := startMember(t, store, membership.Member{Node: "b", Address: "b:1", Weight: 800, Incarnation: 1}, "one")

	waitUntil(t, "the strong node owns the cell", func() bool { return strong.owns("one") })
	store.locked(func() { assert.Equal(t, store.appends, 3, "want a claim, its release and the other node's claim") })
}

// TestNearlyEqualNodesKeepTheirCells checks that a small difference moves no cell, since each handover
// costs a takeover.
func TestNearlyEqualNodesKeepTheirCells(t *testing.T) {
	store := newMemoryStore()
	first := startNode(t, store, "a", "one", "two")
	waitUntil(t, "the cells are owned", func() bool { return first.owns("one") && first.owns("two") })
	startNode(t, store, "b", "one", "two")

	clockwork.NewRealClock().Sleep(handOverDelay + time.Second)

	assert.Assert(t, first.owns("one") && first.owns("two"))
}

// minSilence is how long an owner must be able to stay silent and keep its cell, because packets get
// lost.
const minSilence = 350 * time.Millisecond

// TestSlowOwnerKeepsItsCell checks that an owner keeps its cell while the store shows that it works. The
// links of small nodes are full for seconds, and cells moved back and forth between such nodes. Once
// the owner stops working it is replaced as soon as any other.
func TestSlowOwnerKeepsItsCell(t *testing.T) {
	store := newMemoryStore()
	n := startBesideOwner(t, store, member("b", 1))
	clock := clockwork.NewRealClock()
	worksUntil := clock.Now().Add(3 * time.Second)
	store.locked(func() { store.appendsUntil = worksUntil })

	for clock.Now().Before(worksUntil) {
		assert.Assert(t, !n.owns("one"), "the cell was taken from an owner that works")
		clock.Sleep(20 * time.Millisecond)
	}
	start := clock.Now()
	waitUntil(t, "the cell of an owner that has stopped working is owned", func() bool { return n.owns("one") })
	assert.Assert(t, clock.Since(start) < time.Second, "%v", clock.Since(start))
}

// TestSilentOwnerLosesItsCellBeforeMembershipExpires checks that a takeover doesn't wait until the
// group drops the owner, since all jobs of its cells wait for the takeover.
func TestSilentOwnerLosesItsCellBeforeMembershipExpires(t *testing.T) {
	store := newMemoryStore()
	other := member("b", 1)
	store.replying[other.Address] = other
	n := startBesideOwner(t, store, other)
	clock := clockwork.NewRealClock()
	clock.Sleep(2 * minSilence)
	assert.Assert(t, !n.owns("one"))
	store.locked(func() { delete(store.replying, other.Address) })
	start := clock.Now()

	waitUntil(t, "the cell of the silent node is owned", func() bool { return n.owns("one") })

	took := clock.Since(start)
	assert.Assert(t, took >= minSilence && took < time.Second, "%v", took)
}
