package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shardplan"
)

// Sizes of the platform of a fleet that never decided its layout.
const (
	smallTopicPartitions = 12
	assignedTopics       = 20
	// maxHeartbeats is the number of heartbeats of a node in 8 s.
	maxHeartbeats = 26
)

// startLargeFleet starts a number of nodes on a group that assigns partitions as the platform does.
func startLargeFleet(t *testing.T, count int) (*memoryStore, []*testNode) {
	t.Helper()
	store := newMemoryStore()
	store.group = newAssigningGroup(smallTopicPartitions, assignedTopics)
	var nodes []*testNode
	for number := range count {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("node-%03d", number), "@fleet"))
	}
	return store, nodes
}

// plannerView returns the view of the node that owns the fleet's cell.
func plannerView(nodes []*testNode) (*testNode, *View) {
	for _, n := range nodes {
		if n.owns("@fleet") {
			return n, n.view.Load()
		}
	}
	return nil, nil
}

// decideOnce has the node that owns the fleet's cell propose a layout if it can decide on one, as a node does.
func decideOnce(store *memoryStore, nodes []*testNode) shardplan.Decision {
	n, view := plannerView(nodes)
	if n == nil {
		return shardplan.Decision{}
	}
	in := shardplan.Input{Boxes: 1632, Pools: []string{"a", "b", "c", "d"}, Complete: view.MembersComplete, MaxMissing: view.MaxMissing}
	for _, m := range slices.Concat(view.Members, view.Announced) {
		in.Weights = append(in.Weights, m.Weight)
	}
	// The time is that of the heartbeats, so that a slow machine doesn't change the decision.
	store.locked(func() { in.SinceFirstRead = joinInterval * time.Duration(store.joins/len(nodes)) })
	decision := shardplan.Decide(in)
	if decision.Layout.Decided() && !view.Layout.Decided() {
		n.ProposeLayout(decision.Layout)
	}
	return decision
}

// awaitLayout waits until a layout is in force on all nodes, or each node has sent maxHeartbeats, and returns the
// heartbeats of each node. inspect is called with each decision.
func awaitLayout(t *testing.T, store *memoryStore, nodes []*testNode, inspect func(shardplan.Decision)) int {
	t.Helper()
	joins := 0
	waitUntil(t, "a layout is in force on all nodes", func() bool {
		inspect(decideOnce(store, nodes))
		store.locked(func() { joins = store.joins })
		undecided := func(n *testNode) bool { return !n.view.Load().Layout.Decided() }
		return joins > maxHeartbeats*len(nodes) || !slices.ContainsFunc(nodes, undecided)
	})
	return joins / len(nodes)
}

// TestLargeFleetDecidesItsLayout guards against a fleet that never decides its layout: the group assigned the
// partitions of 20 topics of 12 partitions, although its members named 40, so that it listed at most 240 of 300
// members, and the list never counted as complete. The test then checks growth: how often nodes append to the stream of
// claims while they claim the new layout's cells depends on the number of cells alone.
func TestLargeFleetDecidesItsLayout(t *testing.T) {
	for _, count := range []int{75, 150, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			store, nodes := startLargeFleet(t, count)
			known, incomplete := 0, false
			heartbeats := awaitLayout(t, store, nodes, func(decision shardplan.Decision) {
				if _, view := plannerView(nodes); decision.Layout.Decided() {
					known, incomplete = max(known, len(view.Members)+len(view.Announced)), decision.Incomplete
				}
			})
			t.Logf("layout in force after %d heartbeats of each node", heartbeats)
			assert.Assert(t, heartbeats < maxHeartbeats)
			assert.Equal(t, known, count, "members known by the node that decides")
			assert.Assert(t, !incomplete)
			claimLayout(t, store, nodes)
		})
	}
}

// claimLayout has all nodes claim the cells of the layout in force, and checks that each has an owner of its own and how
// often nodes have tried to append a claim.
func claimLayout(t *testing.T, store *memoryStore, nodes []*testNode) {
	t.Helper()
	layout := nodes[0].view.Load().Layout
	cells := []string{"@fleet"}
	for _, pool := range layout.Pools {
		cells = append(cells, layout.CellNames(pool)...)
	}
	var reads, appends, joins int
	store.locked(func() { reads, appends, joins = store.claimReads, store.appends, store.joins })
	for _, n := range nodes {
		n.SetCells(cells)
	}
	waitUntil(t, "all cells are owned", func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return len(n.view.Load().Claims) < len(cells) })
	})
	store.locked(func() {
		reads, appends, joins = store.claimReads-reads, store.appends-appends, store.joins-joins
	})
	owners := map[string]int{}
	for _, claim := range nodes[0].view.Load().Claims {
		owners[claim.Node]++
	}
	t.Logf("%d cells of %d owners claimed with %d appends during %d heartbeats; all nodes have read the claims %d times", len(cells), len(owners), appends, joins, reads)
	assert.Assert(t, appends <= 6*len(cells), "%d appends", appends)
	assert.Equal(t, len(owners), len(cells), "owners of one cell each")
}

// TestLayoutIsDecidedWithoutAnnouncements guards against a fleet that waits for good for members that nobody lists: the
// announcements of nodes without a partition don't arrive.
func TestLayoutIsDecidedWithoutAnnouncements(t *testing.T) {
	store, nodes := startLargeFleet(t, 300)
	store.locked(func() { store.refuseAnnouncements = true })
	incomplete := false
	heartbeats := awaitLayout(t, store, nodes, func(decision shardplan.Decision) { incomplete = incomplete || decision.Incomplete })
	t.Logf("layout in force after %d heartbeats of each node", heartbeats)
	assert.Assert(t, heartbeats < maxHeartbeats && incomplete)
}

// TestNextPlannerDecidesTheLayout guards against a fleet without a layout because the node that was to decide on it was
// killed before it did.
func TestNextPlannerDecidesTheLayout(t *testing.T) {
	store, nodes := startLargeFleet(t, 75)
	var first *testNode
	waitUntil(t, "a node owns the fleet's cell", func() bool {
		first, _ = plannerView(nodes)
		return first != nil
	})
	assert.NilError(t, first.Close())
	store.locked(func() {
		delete(store.nodes, first.options.Self.Address)
		delete(store.replying, first.options.Self.Address)
		store.group.leave(first.options.Self.Name())
	})
	others := slices.DeleteFunc(nodes, func(n *testNode) bool { return n == first })
	heartbeats := awaitLayout(t, store, others, func(shardplan.Decision) {})
	t.Logf("layout in force after %d heartbeats of each node", heartbeats)
	assert.Assert(t, heartbeats < maxHeartbeats)
}
