package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestAnOwnerThatAFullListDoesNotShowKeepsItsCell as long as it answers: the group lists
// as many members as it has partitions, and who is not listed may live.
func TestAnOwnerThatAFullListDoesNotShowKeepsItsCell(t *testing.T) {
	store := newMemoryStore()
	store.full = true
	unlisted := member("z", 1)
	store.add(claimOf(t, "one", unlisted))
	store.lives[unlisted.Address] = unlisted
	w := start(t, store, "a", "one", "two")
	until(t, "the free cell is owned", func() bool { return w.owns("two") })

	clockwork.NewRealClock().Sleep(5 * time.Second / 2)

	assert.Assert(t, !w.owns("one"), "the cell of a living owner was taken")
	store.set(func() { delete(store.lives, unlisted.Address) })
	until(t, "the cell of an owner that has ended is owned", func() bool { return w.owns("one") })
}

// TestAnOwnerWithoutTheStoreLosesItsCell although it answers: it can start nothing.
func TestAnOwnerWithoutTheStoreLosesItsCell(t *testing.T) {
	store := newMemoryStore()
	cut := member("z", 1)
	store.add(claimOf(t, "one", cut))
	store.lives[cut.Address], store.storeless[cut.Address] = cut, true
	w := start(t, store, "a", "one")

	until(t, "the cell is owned", func() bool { return w.owns("one") })
}

// TestARestartedFleetKeepsItsOwners although the group has fewer partitions than nodes:
// all power was lost, and the weakest of the nodes that were listed took the cells from
// the strong ones, which lived.
func TestARestartedFleetKeepsItsOwners(t *testing.T) {
	store := newMemoryStore()
	store.places = 2
	cells := []string{"one", "two"}
	strong := Member{Node: "y", Address: "y:1", Weight: 800, Incarnation: 2}
	other := Member{Node: "z", Address: "z:1", Weight: 800, Incarnation: 2}
	for cell, owner := range map[string]Member{"one": strong, "two": other} {
		owner.Incarnation = 1
		store.add(claimOf(t, cell, owner))
	}
	var weak []*watched
	for number := range 10 {
		name := fmt.Sprintf("node-%d", number)
		weak = append(weak, startLife(t, store, Member{Node: name, Address: name + ":1", Weight: 19, Incarnation: 2}, cells...))
	}
	first, second := startLife(t, store, strong, cells...), startLife(t, store, other, cells...)
	until(t, "the owners have their cells back", func() bool { return first.owns("one") && second.owns("two") })

	clock := clockwork.NewRealClock()
	for begun := clock.Now(); clock.Since(begun) < 4*time.Second; clock.Sleep(20 * time.Millisecond) {
		for _, w := range weak {
			assert.Assert(t, !w.owns("one") && !w.owns("two"), "%s has taken a cell from an owner that lives", w.options.Self.Node)
		}
	}
	store.set(func() {
		assert.Equal(t, len(store.claims), 2*len(cells), "an owner has claimed its cell more than once")
	})
}

// TestAWeakNodeHandsItsCellOver to a far stronger one: it came to have it while that
// was away, and would stand still under it.
func TestAWeakNodeHandsItsCellOver(t *testing.T) {
	store := newMemoryStore()
	weak := startLife(t, store, Member{Node: "a", Address: "a:1", Weight: 19, Incarnation: 1}, "one")
	until(t, "the cell is owned", func() bool { return weak.owns("one") })

	strong := startLife(t, store, Member{Node: "b", Address: "b:1", Weight: 800, Incarnation: 1}, "one")

	until(t, "the strong node owns the cell", func() bool { return strong.owns("one") })
	store.set(func() { assert.Equal(t, store.appends, 3, "a claim, its release and the other's claim") })
}

// TestNearlyEqualNodesKeepTheirCells since each handing over costs a takeover.
func TestNearlyEqualNodesKeepTheirCells(t *testing.T) {
	store := newMemoryStore()
	first := start(t, store, "a", "one", "two")
	until(t, "the cells are owned", func() bool { return first.owns("one") && first.owns("two") })
	start(t, store, "b", "one", "two")

	clockwork.NewRealClock().Sleep(handOverDelay + time.Second)

	assert.Assert(t, first.owns("one") && first.owns("two"))
}

// leastSilence is how long an owner may be silent and keep its cell: packets are lost.
const leastSilence = 350 * time.Millisecond

// TestASlowOwnerKeepsItsCell as long as the store shows its work: the links of small nodes
// are full for seconds, and cells went to and fro between them. Once it works no more, it is
// replaced as soon as any other.
func TestASlowOwnerKeepsItsCell(t *testing.T) {
	store := newMemoryStore()
	other := member("b", 1)
	store.add(claimOf(t, "one", other))
	store.members = []string{other.Name()}
	w := start(t, store, "a", "one", "two")
	until(t, "the free cell is owned", func() bool { return w.owns("two") })
	clock := clockwork.NewRealClock()
	works := clock.Now().Add(3 * time.Second)
	store.set(func() { store.works = works })

	for clock.Now().Before(works) {
		assert.Assert(t, !w.owns("one"), "the cell was taken from an owner that works")
		clock.Sleep(20 * time.Millisecond)
	}
	begun := clock.Now()
	until(t, "the cell of an owner that works no more is owned", func() bool { return w.owns("one") })
	assert.Assert(t, clock.Since(begun) < time.Second, "%v", clock.Since(begun))
}

// TestASilentOwnerLosesItsCellBeforeTheGroupGivesItUp since all jobs of its cells wait
// for that.
func TestASilentOwnerLosesItsCellBeforeTheGroupGivesItUp(t *testing.T) {
	store := newMemoryStore()
	other := member("b", 1)
	store.add(claimOf(t, "one", other))
	store.members = []string{other.Name()}
	store.lives[other.Address] = other
	w := start(t, store, "a", "one", "two")
	until(t, "the free cell is owned", func() bool { return w.owns("two") })
	clock := clockwork.NewRealClock()
	clock.Sleep(2 * leastSilence)
	assert.Assert(t, !w.owns("one"))
	store.set(func() { delete(store.lives, other.Address) })
	begun := clock.Now()

	until(t, "the cell of the silent node is owned", func() bool { return w.owns("one") })

	took := clock.Since(begun)
	assert.Assert(t, took >= leastSilence && took < time.Second, "%v", took)
}
