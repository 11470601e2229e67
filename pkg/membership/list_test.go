package membership_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// TestNearlyFullGroupMayHideMembers guards against taking a list for complete too early. Of 147 nodes
// on 96 partitions 95 were listed, one of them with two partitions, and 52 had none.
func TestNearlyFullGroupMayHideMembers(t *testing.T) {
	for name, test := range map[string]struct {
		partitions, holders int
		nearlyFull          bool
	}{
		"no members":                  {0, 0, false},
		"six nodes":                   {24, 6, false},
		"a member for each partition": {24, 24, true},
		"one member holds two":        {96, 95, true},
		"spare partitions":            {192, 147, false},
	} {
		var assignments []damsonwinch.Assignment
		for number := range test.partitions {
			assignments = append(assignments, damsonwinch.Assignment{
				Stream: damsonwinch.Stream{Topic: "nodes", Partition: number}, Member: strconv.Itoa(number % max(1, test.holders)),
			})
		}
		assert.Equal(t, membership.FromAssignments(assignments, membership.Member{}).NearlyFull(), test.nearlyFull, name)
	}
}

// TestListHoldsTheNewestIncarnations checks that a list holds one member for each node, and leaves out
// names that aren't those of members.
func TestListHoldsTheNewestIncarnations(t *testing.T) {
	earlier, later := membership.Member{Node: "b", Address: "b:1", Weight: 400, Incarnation: 1}, membership.Member{Node: "b", Address: "b:1", Weight: 400, Incarnation: 2}
	self := membership.Member{Node: "a", Address: "a:1", Weight: 200, Incarnation: 1}
	list := membership.NewList([]string{later.Name(), earlier.Name(), "no member", self.Name()}, 1, false, self)

	assert.DeepEqual(t, list.Members(), []membership.Member{self, later})
	assert.Assert(t, list.Has("b", 2) && !list.Has("b", 1) && !list.Has("c", 1))
	assert.Assert(t, list.HasLater("b", 1) && !list.HasLater("b", 2) && !list.HasLater("c", 1))
	assert.Equal(t, list.StrongerCount(), 1)
	other := membership.NewList([]string{self.Name()}, 1, false, self)
	assert.Assert(t, list.Request(1) != other.Request(1), "lists with other contents")
}

// TestReplyHoldsWhatTheOtherNodeLacks checks that a node gets the members of another list, and none if its
// own list is the same.
func TestReplyHoldsWhatTheOtherNodeLacks(t *testing.T) {
	const generation = 3
	self := membership.Member{Node: "a", Address: "a:1", Weight: 200, Incarnation: 1}
	list := membership.NewList([]string{self.Name()}, 2, true, self)

	unchanged := list.Reply(list.Request(generation), generation, time.Second)
	assert.Assert(t, unchanged.Unchanged && len(unchanged.Members) == 0)
	reply := list.Reply(list.Request(generation-1), generation, time.Second)
	assert.Assert(t, !reply.Unchanged)
	received, age, err := membership.FromReply(reply, self)
	assert.NilError(t, err)
	assert.Equal(t, age, time.Second)
	assert.Equal(t, received.Request(generation), list.Request(generation))
	assert.DeepEqual(t, received.Members(), list.Members())

	_, _, err = membership.FromReply(list.Reply(list.Request(generation), generation, time.Minute), self)
	assert.ErrorContains(t, err, "doesn't know the present members")
	_, _, err = membership.FromReply(wire.MembersReply{}, self)
	assert.ErrorContains(t, err, "doesn't know the present members")
}

// TestGroupNeedsMoreTopicsWhenNearlyFull checks how many topics a list says that the group needs.
func TestGroupNeedsMoreTopicsWhenNearlyFull(t *testing.T) {
	spare, full := membership.NewList(nil, 3, false, membership.Member{}), membership.NewList(nil, 3, true, membership.Member{})
	assert.Equal(t, spare.TopicsNeeded(1), 3)
	assert.Equal(t, spare.TopicsNeeded(5), 5)
	assert.Equal(t, full.TopicsNeeded(1), 6)
	assert.Equal(t, full.TopicsNeeded(membership.MaxTopics), membership.MaxTopics)
	assert.Assert(t, full.MayGrow() && !spare.MayGrow())
	assert.Assert(t, !membership.NewList(nil, membership.MaxTopics, true, membership.Member{}).MayGrow())
}
