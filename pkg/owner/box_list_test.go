package owner

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// countingFleet counts the requests for the list of boxes.
type countingFleet struct {
	damsonwinch.Fleet
	requests chan struct{}
}

func (f countingFleet) Boxes(context.Context) ([]damsonwinch.Box, error) {
	f.requests <- struct{}{}
	return nil, nil
}

// TestOwnersLeaveTheListOfBoxesToThePlanner checks growth: while endpoints can't be reached, each owner needs to
// know which of them have exited. The list of boxes grows with the fleet, so that a list for each owner grows
// with cells times boxes: when a zone of 1,000 boxes is cut off, 60 owners would read 110 MB/s. The planner
// reads the list anyway and says so. An owner reads it itself only if no planner calls.
func TestOwnersLeaveTheListOfBoxesToThePlanner(t *testing.T) {
	const owners, rounds = 8, 20
	requests := make(chan struct{}, 1000)
	for _, count := range []int{owners, 2 * owners, 4 * owners} {
		for range count {
			f := newFixture(t, &partialOutageStore{})
			f.deps.Fleet = countingFleet{requests: requests}
			for range rounds {
				f.clock.Advance(boxListInterval)
				syncCall{args: wire.SyncArgs{Token: 1}, reply: make(chan wire.SyncReply, 1)}.apply(f.Owner, f.clock.Now())
				f.listBoxes()
			}
		}
		assert.Equal(t, len(requests), 0, "requests of %d owners", count)
	}

	f := newFixture(t, &partialOutageStore{})
	f.deps.Fleet = countingFleet{requests: requests}
	syncCall{args: wire.SyncArgs{Token: 1}, reply: make(chan wire.SyncReply, 1)}.apply(f.Owner, f.clock.Now())
	f.clock.Advance(plannerSilence)
	f.listBoxes()
	select {
	case <-requests:
	case <-clockwork.NewRealClock().After(10 * time.Second):
		t.Fatal("the owner doesn't read the list although no planner calls")
	}
}
