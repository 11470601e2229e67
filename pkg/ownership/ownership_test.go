package ownership

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// waitTimeout limits each wait of a test.
const waitTimeout = 20 * time.Second

// testNode is the Ownership of one node, with the newest view that it has published.
type testNode struct {
	*Ownership
	view atomic.Pointer[View]
}

// startNode starts the first incarnation of a node.
func startNode(t *testing.T, store *memoryStore, node string, cells ...string) *testNode {
	t.Helper()
	return startMember(t, store, member(node, 1), cells...)
}

// member returns an incarnation of a node with the usual weight.
func member(node string, incarnation int) membership.Member {
	return membership.Member{Node: node, Address: node + ":1", Weight: 400, Incarnation: incarnation}
}

// claimRecord returns the record with which a member claims a cell.
func claimRecord(t *testing.T, cell string, m membership.Member) damsonwinch.Record {
	value, err := json.Marshal(wire.CellClaim{Cell: cell, Node: m.Node, Address: m.Address, Incarnation: m.Incarnation})
	assert.NilError(t, err)
	return damsonwinch.Record{Key: cell, Value: value}
}

// startMember starts the Ownership of a member, which replies to health checks from then on.
func startMember(t *testing.T, store *memoryStore, self membership.Member, cells ...string) *testNode {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n := &testNode{}
	n.view.Store(&View{})
	n.Ownership = New(Deps{
		Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New(),
		FetchClaims: func(_ context.Context, address string, _ wire.ClaimsArgs) (wire.ClaimsReply, error) {
			return store.claimsReply(address)
		},
		FetchMembers: func(_ context.Context, address string, args wire.MembersArgs) (wire.MembersReply, error) {
			return store.membersReply(address, args)
		},
		OnViewChange: func(view View) { n.view.Store(&view) },
	}, Options{Self: self, Partitions: 24, AnnounceCell: "@fleet"})
	n.SetCells(cells)
	store.locked(func() { store.replying[self.Address], store.nodes[self.Address] = self, n })
	t.Cleanup(func() { assert.Check(t, n.Close()) })
	return n
}

// startBesideOwner starts the node a while another member owns the cell one, and waits until a owns the free
// cell two.
func startBesideOwner(t *testing.T, store *memoryStore, other membership.Member) *testNode {
	t.Helper()
	store.appendRecord(claimRecord(t, "one", other))
	store.members = []string{other.Name()}
	n := startNode(t, store, "a", "one", "two")
	waitUntil(t, "the free cell is owned", func() bool { return n.owns("two") })
	return n
}

// owns reports whether this node owns a cell, in its newest view.
func (n *testNode) owns(cell string) bool {
	claim, owned := n.view.Load().Owner(cell)
	return owned && claim.HeldBy(n.options.Self)
}

// waitUntil waits until a condition holds, and fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	clock := clockwork.NewRealClock()
	for start := clock.Now(); clock.Since(start) < waitTimeout; clock.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitTimeout, what)
}

// TestNodeClaimsEachUnownedCellOnce checks that a node claims cells without an owner, with one append
// each.
func TestNodeClaimsEachUnownedCellOnce(t *testing.T) {
	store := newMemoryStore()
	n := startNode(t, store, "a", "one", "two", "three")
	waitUntil(t, "all cells are owned", func() bool { return n.owns("one") && n.owns("two") && n.owns("three") })
	store.locked(func() { assert.Equal(t, store.appends, 3) })
}

// TestNodesDoNotAskEachOtherForClaimsWhileTheStoreAnswers guards against needless calls: each answer holds all
// claims, and each node of a fleet asked another one once or twice a second although the store answered.
func TestNodesDoNotAskEachOtherForClaimsWhileTheStoreAnswers(t *testing.T) {
	store := newMemoryStore()
	first, second := startNode(t, store, "a", "one", "two"), startNode(t, store, "b", "one", "two")
	waitUntil(t, "the cells are owned", func() bool {
		_, one := first.view.Load().Owner("one")
		_, two := second.view.Load().Owner("two")
		return one && two
	})
	asked := func() int {
		return first.deps.Metrics.Count("peers_without_claims") + second.deps.Metrics.Count("peers_without_claims")
	}
	before := asked()
	store.awaitJoins(t, 2, 9)
	assert.Equal(t, asked(), before)
}

// TestConflictingClaimIsNotRetriedBeforeNewRecordsAreRead guards against appends that can't succeed: a
// node whose read of the claims hung tried a hundred a second.
func TestConflictingClaimIsNotRetriedBeforeNewRecordsAreRead(t *testing.T) {
	store := newMemoryStore()
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
	lost := member("gone", 1)
	var before int
	store.locked(func() {
		before = store.appends
		store.hangNextRead = true
	})
	// The read that waits now returns this claim. The next read hangs.
	store.locked(func() { store.appendRecord(claimRecord(t, "other", lost)) })
	waitUntil(t, "the read hangs", func() bool {
		hung := false
		store.locked(func() { hung = !store.hangNextRead })
		return hung
	})
	store.locked(func() { store.appendRecord(claimRecord(t, "two", lost)) })

	n.SetCells([]string{"one", "two"})

	waitUntil(t, "the cell of the lost node is owned", func() bool { return n.owns("two") })
	store.locked(func() { assert.Assert(t, store.appends-before <= 2, "%d appends", store.appends-before) })
}

// TestClaimIsReleasedDespiteFailedAppends releases a claim while the store doesn't answer at first. As
// long as the claim stands, no node that is alive takes the cell.
func TestClaimIsReleasedDespiteFailedAppends(t *testing.T) {
	store := newMemoryStore()
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
	token := n.view.Load().Claims["one"].Token
	store.locked(func() { store.failures = 2 })

	n.ReleaseClaim("one", token)

	waitUntil(t, "the cell is owned by a newer claim", func() bool { return n.owns("one") && n.view.Load().Claims["one"].Token > token })
}

// TestFailedClaimIsRetriedAfterDelay guards against a flood of appends: the store refused the
// connections of nodes in a zone that was cut off, and each node tried 150 claims a second for 7 s.
func TestFailedClaimIsRetriedAfterDelay(t *testing.T) {
	store := newMemoryStore()
	store.failures = 1000
	clock := clockwork.NewRealClock()
	start := clock.Now()
	n := startNode(t, store, "a", "one")
	waitUntil(t, "three appends have been tried", func() bool {
		tried := 0
		store.locked(func() { tried = store.appends })
		return tried >= 3
	})
	took := clock.Since(start)
	store.locked(func() {
		assert.Assert(t, store.appends <= 2+int(took/appendRetryDelay), "%d appends in %v", store.appends, took)
		store.failures = 0
	})
	waitUntil(t, "the cell is owned", func() bool { return n.owns("one") })
}

// TestRestartedNodeReclaimsItsCellsAtOnce uses a group that still lists the node's earlier incarnation
// and not yet the new one. If nodes waited for the group, their cells would have no owner until the
// earlier incarnation's membership expired.
func TestRestartedNodeReclaimsItsCellsAtOnce(t *testing.T) {
	store := newMemoryStore()
	earlier, later := member("a", 1), member("a", 2)
	store.appendRecord(claimRecord(t, "one", earlier))
	store.members = []string{earlier.Name()}
	store.unlisted = map[string]bool{later.Name(): true}

	n := startMember(t, store, later, "one")

	waitUntil(t, "the cell is owned by the later incarnation", func() bool { return n.owns("one") })
}

// TestNodeThatRefusesConnectionsLosesItsCell checks that a reported refused connection suffices for a
// takeover, even if the group still lists the node.
func TestNodeThatRefusesConnectionsLosesItsCell(t *testing.T) {
	n := startBesideOwner(t, newMemoryStore(), member("b", 1))
	assert.Assert(t, !n.owns("one"))

	n.ReportRefusedConnection("b", 1)

	waitUntil(t, "the cell of the exited node is owned", func() bool { return n.owns("one") })
}

// TestUnlistedIncarnationKeepsItsClaimWhileItReplies checks that a restarted node that has reclaimed its
// cells doesn't lose them to a node that the group lists sooner.
func TestUnlistedIncarnationKeepsItsClaimWhileItReplies(t *testing.T) {
	store := newMemoryStore()
	n := startNode(t, store, "a", "one")
	waitUntil(t, "the free cell is owned", func() bool { return n.owns("one") })
	unlisted := member("b", 2)
	store.locked(func() {
		store.replying[unlisted.Address] = unlisted
		store.appendRecord(claimRecord(t, "two", unlisted))
	})
	n.SetCells([]string{"one", "two"})

	clockwork.NewRealClock().Sleep(5 * time.Second / 2)

	assert.Assert(t, !n.owns("two"), "the cell was taken from an owner that is alive")
	store.locked(func() { delete(store.replying, unlisted.Address) })
	waitUntil(t, "the cell of a node that doesn't reply is owned", func() bool { return n.owns("two") })
}
