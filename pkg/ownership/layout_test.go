package ownership

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/shard"
)

// TestOnlyOneLayoutIsDecided lets two nodes propose layouts at the same time. Jobs are found by the
// layout, so a second one would hide jobs.
func TestOnlyOneLayoutIsDecided(t *testing.T) {
	store := newMemoryStore()
	a, b := startNode(t, store, "a", "one"), startNode(t, store, "b", "one")

	a.ProposeLayout(shard.New(3, []string{"p"}))
	b.ProposeLayout(shard.New(5, []string{"p", "q"}))

	waitUntil(t, "both nodes know a layout", func() bool { return a.view.Load().Layout.Decided() && b.view.Load().Layout.Decided() })
	decided := a.view.Load().Layout
	assert.Assert(t, decided.Equal(b.view.Load().Layout), "%v and %v", decided, b.view.Load().Layout)
	b.ProposeLayout(shard.New(7, nil))
	later := startNode(t, store, "c", "one", "two")
	waitUntil(t, "a later node knows the layout", func() bool { return later.view.Load().Layout.Decided() })
	assert.Assert(t, later.view.Load().Layout.Equal(decided))
	assert.Assert(t, b.view.Load().Layout.Equal(decided))
}

// TestGrowingMemberListIsIncomplete checks that the list of members doesn't count as complete while
// each partition of the group has another holder, or while the number of members changes.
func TestGrowingMemberListIsIncomplete(t *testing.T) {
	store := newMemoryStore()
	store.locked(func() { store.listFull = true })
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
	assert.Assert(t, !n.view.Load().MembersComplete)

	store.locked(func() { store.listFull = false })

	waitUntil(t, "the list counts as complete once it has spare partitions", func() bool { return n.view.Load().MembersComplete })
}

// TestMemberListIsCompleteWhenGroupUsesAllTopics uses a group with more members than there are
// partitions in all topics that the group may use. If that kept the list from counting as complete, no
// layout would ever be decided.
func TestMemberListIsCompleteWhenGroupUsesAllTopics(t *testing.T) {
	store := newMemoryStore()
	store.partitionsPerTopic = 1
	for number := range membership.MaxTopics + 20 {
		name := member("node-"+strconv.Itoa(100+number), 1).Name()
		store.members = append(store.members, name)
		store.topicCounts[name] = membership.MaxTopics
	}
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the list counts as complete", func() bool { return n.view.Load().MembersComplete })
}

// TestGroupOfSmallTopicsListsLargeFleet checks that the group can list 300 nodes on topics of 12
// partitions, and that all topics together stay below the limit of the platform.
func TestGroupOfSmallTopicsListsLargeFleet(t *testing.T) {
	const nodes, partitions = 300, 12
	assert.Assert(t, membership.MaxTopics*partitions*100 >= nodes*(100+membership.MinSparePercent))
	assert.Assert(t, membership.MaxTopics+maxCellTopics < 100, "the platform allows 100 topics")
}
