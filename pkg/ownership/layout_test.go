package ownership

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// TestALayoutIsDecidedOnce although two nodes decide at the same time: jobs are found by
// it, so that a second one would hide them.
func TestALayoutIsDecidedOnce(t *testing.T) {
	store := newMemoryStore()
	a, b := start(t, store, "a", "one"), start(t, store, "b", "one")

	a.ProposeLayout(shard.NewLayout(3, []string{"p"}))
	b.ProposeLayout(shard.NewLayout(5, []string{"p", "q"}))

	until(t, "both know a layout", func() bool { return a.view.Load().Layout.Decided() && b.view.Load().Layout.Decided() })
	decided := a.view.Load().Layout
	assert.Assert(t, decided.Equal(b.view.Load().Layout), "%v and %v", decided, b.view.Load().Layout)
	b.ProposeLayout(shard.NewLayout(7, nil))
	later := start(t, store, "c", "one", "two")
	until(t, "a later node knows it", func() bool { return later.view.Load().Layout.Decided() })
	assert.Assert(t, later.view.Load().Layout.Equal(decided))
	assert.Assert(t, b.view.Load().Layout.Equal(decided))
}

// TestAListOfMembersThatGrowsIsNotComplete: as long as each partition of the group has
// another holder, or the number of members changes, there may be more.
func TestAListOfMembersThatGrowsIsNotComplete(t *testing.T) {
	store := newMemoryStore()
	store.set(func() { store.full = true })
	w := start(t, store, "a", "one")
	until(t, "the cell is owned", func() bool { return w.owns("one") })
	assert.Assert(t, !w.view.Load().MembersComplete)

	store.set(func() { store.full = false })

	until(t, "the list is complete", func() bool { return w.view.Load().MembersComplete })
}

// TestAGroupThatCanGrowNoMoreIsAsCompleteAsItGets: with more nodes than the partitions of all topics
// that the group may use, no list would ever be complete, and no layout decided.
func TestAGroupThatCanGrowNoMoreIsAsCompleteAsItGets(t *testing.T) {
	store := newMemoryStore()
	store.places = 1
	for number := range mostTopics + 20 {
		name := member("node-"+strconv.Itoa(100+number), 1).Name()
		store.members = append(store.members, name)
		store.topics[name] = mostTopics
	}
	w := start(t, store, "a", "one")
	until(t, "the list is taken for complete", func() bool { return w.view.Load().MembersComplete })
}

// TestAGroupOfAFewPartitionsListsAFleet: 300 nodes before topics of 12 partitions.
func TestAGroupOfAFewPartitionsListsAFleet(t *testing.T) {
	const nodes, partitions = 300, 12
	assert.Assert(t, mostTopics*partitions*100 >= nodes*(100+spareShare))
	assert.Assert(t, mostTopics+mostPartitionTopics < 100, "the platform keeps no more topics")
}

// TestCellsAreNumberedThroughTheTopics so that a fleet may have more cells than a topic has
// partitions.
func TestCellsAreNumberedThroughTheTopics(t *testing.T) {
	streams := map[string]bool{}
	for partition := range 50 {
		claim := Claim{}
		claim.Partition = partition
		stream := CellStream(claim, 24)
		assert.Assert(t, stream.Partition < 24)
		streams[stream.String()] = true
	}
	assert.Equal(t, len(streams), 50)
	assert.Assert(t, streams["keyed.cells/0"] && streams["keyed.cells-2/0"] && streams["keyed.cells-3/1"])
}

// TestAGroupThatIsNearlyFullMayHideMembers: of 147 nodes on 96 partitions 95 were listed,
// one with two of them, and 52 had none.
func TestAGroupThatIsNearlyFullMayHideMembers(t *testing.T) {
	for name, test := range map[string]struct {
		partitions, holders int
		crowded             bool
	}{
		"nobody yet":              {0, 0, false},
		"six nodes":               {24, 6, false},
		"each partition is taken": {24, 24, true},
		"one member holds two":    {96, 95, true},
		"room for all of them":    {192, 147, false},
	} {
		var dealt []damsonwinch.Assignment
		for number := range test.partitions {
			dealt = append(dealt, damsonwinch.Assignment{
				Stream: damsonwinch.Stream{Topic: groupTopic, Partition: number}, Member: strconv.Itoa(number % max(1, test.holders)),
			})
		}
		assert.Equal(t, crowded(dealt), test.crowded, name)
	}
}
