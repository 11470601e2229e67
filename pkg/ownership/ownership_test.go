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
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// taskTime bounds each wait of a test.
const taskTime = 20 * time.Second

// watched is a node's ownership with the newest view it has told.
type watched struct {
	*Ownership
	view atomic.Pointer[View]
}

func start(t *testing.T, store *memoryStore, node string, cells ...string) *watched {
	t.Helper()
	return startLife(t, store, member(node, 1), cells...)
}

func member(node string, incarnation int) Member {
	return Member{Node: node, Address: node + ":1", Weight: 400, Incarnation: incarnation}
}

// claimOf is a claim as a member makes it.
func claimOf(t *testing.T, cell string, m Member) damsonwinch.Record {
	value, err := json.Marshal(wire.CellClaim{Cell: cell, Node: m.Node, Address: m.Address, Incarnation: m.Incarnation})
	assert.NilError(t, err)
	return damsonwinch.Record{Key: cell, Value: value}
}

func startLife(t *testing.T, store *memoryStore, self Member, cells ...string) *watched {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := &watched{}
	w.view.Store(&View{})
	w.Ownership = New(Deps{
		Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New(),
		FetchClaims: func(_ context.Context, address string, _ wire.ClaimsArgs) (wire.ClaimsReply, error) {
			return store.ask(address)
		},
		OnViewChange: func(view View) { w.view.Store(&view) },
	}, Options{Self: self, Partitions: 24})
	w.SetCells(cells)
	store.set(func() { store.lives[self.Address] = self })
	t.Cleanup(func() { assert.Check(t, w.Close()) })
	return w
}

func (w *watched) owns(cell string) bool {
	claim, owned := w.view.Load().Owner(cell)
	return owned && claim.HeldBy(w.options.Self)
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	clock := clockwork.NewRealClock()
	for begun := clock.Now(); clock.Since(begun) < taskTime; clock.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", taskTime, what)
}

// TestANodeClaimsWhatNobodyOwns once for each cell.
func TestANodeClaimsWhatNobodyOwns(t *testing.T) {
	store := newMemoryStore()
	w := start(t, store, "a", "one", "two", "three")
	until(t, "all cells are owned", func() bool { return w.owns("one") && w.owns("two") && w.owns("three") })
	store.set(func() { assert.Equal(t, store.appends, 3) })
}

// TestAClaimThatCameTooLateWaitsForNews does not try again and again what can't
// succeed: a node whose reading of the claims hung tried a hundred times a second.
func TestAClaimThatCameTooLateWaitsForNews(t *testing.T) {
	store := newMemoryStore()
	w := start(t, store, "a", "one")
	until(t, "the cell is owned", func() bool { return w.owns("one") })
	gone := member("gone", 1)
	var before int
	store.set(func() {
		before = store.appends
		store.hang = true
	})
	// The reading that waits now sees the first of these, the next one hangs.
	store.set(func() { store.add(claimOf(t, "other", gone)) })
	until(t, "the reading hangs", func() bool {
		hung := false
		store.set(func() { hung = !store.hang })
		return hung
	})
	store.set(func() { store.add(claimOf(t, "two", gone)) })

	w.SetCells([]string{"one", "two"})

	until(t, "the cell of the lost node is owned", func() bool { return w.owns("two") })
	store.set(func() { assert.Assert(t, store.appends-before <= 2, "%d tries", store.appends-before) })
}

// TestARenouncedCellIsGivenUp also if the store doesn't answer at first: as long as
// its claim stands, no living node takes the cell.
func TestARenouncedCellIsGivenUp(t *testing.T) {
	store := newMemoryStore()
	w := start(t, store, "a", "one")
	until(t, "the cell is owned", func() bool { return w.owns("one") })
	token := w.view.Load().Claims["one"].Token
	store.set(func() { store.fail = 2 })

	w.ReleaseClaim("one", token)

	until(t, "the cell is owned by a newer claim", func() bool { return w.owns("one") && w.view.Load().Claims["one"].Token > token })
}

// TestAClaimThatFailsIsNotInsistedOn: nodes of a zone that was cut off were refused
// connections to the store and tried a claim 150 times a second each, for 7 s.
func TestAClaimThatFailsIsNotInsistedOn(t *testing.T) {
	store := newMemoryStore()
	store.fail = 1000
	clock := clockwork.NewRealClock()
	begun := clock.Now()
	w := start(t, store, "a", "one")
	until(t, "it has been tried three times", func() bool {
		tried := 0
		store.set(func() { tried = store.appends })
		return tried >= 3
	})
	took := clock.Since(begun)
	store.set(func() {
		assert.Assert(t, store.appends <= 2+int(took/claimPause), "%d tries in %v", store.appends, took)
		store.fail = 0
	})
	until(t, "the cell is owned", func() bool { return w.owns("one") })
}

// TestARestartedNodeTakesItsCellsBackAtOnce although the group still lists its earlier
// life and not yet this one: cells were without an owner for the group's whole time.
func TestARestartedNodeTakesItsCellsBackAtOnce(t *testing.T) {
	store := newMemoryStore()
	before, now := member("a", 1), member("a", 2)
	store.add(claimOf(t, "one", before))
	store.members = []string{before.Name()}
	store.hidden = map[string]bool{now.Name(): true}

	w := startLife(t, store, now, "one")

	until(t, "the cell is owned by the later life", func() bool { return w.owns("one") })
}

// TestANodeThatRefusesConnectionsHasEnded also if the group still lists it.
func TestANodeThatRefusesConnectionsHasEnded(t *testing.T) {
	store := newMemoryStore()
	other := member("b", 1)
	store.add(claimOf(t, "one", other))
	store.members = []string{other.Name()}
	w := start(t, store, "a", "one", "two")
	until(t, "the free cell is owned", func() bool { return w.owns("two") })
	assert.Assert(t, !w.owns("one"))

	w.ReportRefusedConnection("b", 1)

	until(t, "the cell of the ended node is owned", func() bool { return w.owns("one") })
}

// TestANewLifeKeepsItsClaimUntilItIsListed so that a node that has restarted and taken
// its cells back does not lose them to one that the group lists sooner.
func TestANewLifeKeepsItsClaimUntilItIsListed(t *testing.T) {
	store := newMemoryStore()
	w := start(t, store, "a", "one")
	until(t, "the free cell is owned", func() bool { return w.owns("one") })
	unlisted := member("b", 2)
	store.set(func() {
		store.lives[unlisted.Address] = unlisted
		store.add(claimOf(t, "two", unlisted))
	})
	w.SetCells([]string{"one", "two"})

	clockwork.NewRealClock().Sleep(5 * time.Second / 2)

	assert.Assert(t, !w.owns("two"), "the cell of a living owner was taken")
	store.set(func() { delete(store.lives, unlisted.Address) })
	until(t, "the cell of a node that doesn't answer is owned", func() bool { return w.owns("two") })
}
