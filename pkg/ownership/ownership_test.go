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
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := &watched{}
	w.view.Store(&View{})
	w.Ownership = New(Deps{
		Store: store, Clock: clockwork.NewRealClock(), Logger: logger, Metrics: metrics.New(),
		AskPeer: func(context.Context, string, wire.ClaimsArgs) (wire.ClaimsReply, error) {
			return wire.ClaimsReply{}, errLost
		},
		Changed: func(view View) { w.view.Store(&view) },
	}, Options{Self: Member{Node: node, Address: node + ":1", Weight: 400, Incarnation: 1}, Partitions: 24})
	w.Want(cells)
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
	gone, err := json.Marshal(wire.CellClaim{Cell: "two", Node: "gone", Address: "gone:1", Incarnation: 1, Partition: 1})
	assert.NilError(t, err)
	var before int
	store.set(func() {
		before = store.appends
		store.hang = true
	})
	// The reading that waits now sees the first of these, the next one hangs.
	store.set(func() { store.add(damsonwinch.Record{Key: "other", Value: gone}) })
	until(t, "the reading hangs", func() bool {
		hung := false
		store.set(func() { hung = !store.hang })
		return hung
	})
	store.set(func() { store.add(damsonwinch.Record{Key: "two", Value: gone}) })

	w.Want([]string{"one", "two"})

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

	w.Renounce("one", token)

	until(t, "the cell is owned by a newer claim", func() bool { return w.owns("one") && w.view.Load().Claims["one"].Token > token })
}
