package ownership

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// joinAll starts the given number of nodes, which share as many cells less one, and waits until all cells
// have owners and all nodes know all members.
func joinAll(t *testing.T, store *memoryStore, count int) []*testNode {
	t.Helper()
	var cells []string
	for number := range count - 1 {
		cells = append(cells, fmt.Sprintf("cell-%03d", number))
	}
	var nodes []*testNode
	for number := range count {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("node-%03d", number), cells...))
	}
	waitUntil(t, "all cells are owned and all members known", func() bool {
		for _, n := range nodes {
			view := n.view.Load()
			if len(view.Members) != count || len(view.Claims) != len(cells) {
				return false
			}
		}
		return true
	})
	return nodes
}

// awaitJoins waits until each node has sent about the given number of heartbeats.
func (s *memoryStore) awaitJoins(t *testing.T, nodes, each int) {
	t.Helper()
	var before int
	s.locked(func() { before = s.joins })
	waitUntil(t, "heartbeats have been sent", func() bool {
		joins := 0
		s.locked(func() { joins = s.joins })
		return joins >= before+nodes*each
	})
}

// TestFewNodesReadTheMembers checks growth: the list of members grows with the fleet, and when each node read
// it from the store again and again, the bytes grew with the square of the fleet. Now no node reads it while
// nobody joins or leaves, and after a change a fixed number of nodes do; the others ask them.
func TestFewNodesReadTheMembers(t *testing.T) {
	const size = 20
	reads := map[int]int{}
	for _, count := range []int{size, 2 * size} {
		store := newMemoryStore()
		nodes := joinAll(t, store, count)
		store.awaitJoins(t, count, 4)
		store.locked(func() { store.assignmentReads = 0 })
		store.awaitJoins(t, count, 4)
		store.locked(func() { assert.Equal(t, store.assignmentReads, 0, "reads while nothing changes") })

		late := startNode(t, store, "late")
		waitUntil(t, "all nodes know the new member", func() bool {
			for _, n := range append(nodes, late) {
				if len(n.view.Load().Members) != count+1 {
					return false
				}
			}
			return true
		})
		store.awaitJoins(t, count, 2)
		store.locked(func() { reads[count] = store.assignmentReads })
		for _, n := range append(nodes, late) {
			assert.NilError(t, n.Close())
		}
	}
	t.Logf("reads from the store after a change, by nodes: %v", reads)
	// The new node reads the members itself until it knows whom to ask.
	assert.Assert(t, reads[2*size] <= 3*memberUpstreamCount, "%v", reads)
}

// TestMembersAreReadFromTheStoreIfOtherNodesFail checks that a node learns of a change although none of the
// nodes that it asks replies.
func TestMembersAreReadFromTheStoreIfOtherNodesFail(t *testing.T) {
	const size = 20
	store := newMemoryStore()
	nodes := joinAll(t, store, size)
	store.locked(func() {
		clear(store.nodes)
		store.members = append(store.members, member("late", 1).Name())
	})
	waitUntil(t, "all nodes know the new member", func() bool {
		for _, n := range nodes {
			if len(n.view.Load().Members) != size+1 {
				return false
			}
		}
		return true
	})
}

// A node that asks others for the members may ask some that are cut off from the store. It must not wait for the
// next regular read then: an owner that is cut off as well keeps its cells until its successor has the new list.
func TestMembersAreAskedAgainSoonIfANodeHadNone(t *testing.T) {
	const size = 20
	store := newMemoryStore()
	nodes := joinAll(t, store, size)
	for _, n := range nodes {
		assert.NilError(t, n.Close())
	}
	n := nodes[0].Ownership
	if n.isMemberUpstream() {
		n = nodes[slices.IndexFunc(nodes, func(n *testNode) bool { return !n.isMemberUpstream() })].Ownership
	}
	asked := map[string]bool{}
	now := n.state.memberReadSentAt
	n.state.generation++
	for n.state.memberFailures = range maxMemberFailures {
		if n.state.memberFailures > 0 {
			assert.Assert(t, n.memberReadDue(now.Add(tickInterval)), "after failure %d", n.state.memberFailures)
		}
		address, found := n.memberUpstream()
		assert.Assert(t, found)
		asked[address] = true
		n.state.memberFetches++
	}
	n.state.memberFailures = maxMemberFailures
	_, found := n.memberUpstream()
	assert.Assert(t, !found, "the store is read next")
	assert.Equal(t, len(asked), maxMemberFailures, "another node each time")

	n.state.memberFailures, n.state.memberListBehind = 0, true
	assert.Assert(t, n.memberReadDue(now.Add(tickInterval)), "after a list that was behind")
	n.state.memberListBehind = false
	assert.Assert(t, !n.memberReadDue(now.Add(tickInterval)))
}

// The group assigns a partition to a new member only once the holder has heard of it, and then its generation
// doesn't change again.
func TestMemberThatIsListedLateIsSeen(t *testing.T) {
	for _, size := range []int{3, 20} {
		store := newMemoryStore()
		nodes := joinAll(t, store, size)
		late := member("late", 1).Name()
		store.locked(func() {
			store.generation++
			store.members = append(store.members, late)
			store.unlisted = map[string]bool{late: true}
		})
		store.awaitJoins(t, size, 2)
		store.locked(func() {
			store.unlisted = nil
			store.listing = fmt.Sprint(store.assignments())
		})
		waitUntil(t, "all nodes know the late member", func() bool {
			for _, n := range nodes {
				if len(n.view.Load().Members) != size+1 {
					return false
				}
			}
			return true
		})
		for _, n := range nodes {
			assert.NilError(t, n.Close())
		}
	}
}
