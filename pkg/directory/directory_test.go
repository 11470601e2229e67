package directory

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// world is a fleet of cells whose lists a few nodes publish.
type world struct {
	clock     *clockwork.FakeClock
	endpoints map[string][]damsonwinch.Endpoint
	end       int
	lists     map[string]*Lists
	// received is the number of endpoints in replies.
	received    int
	unreachable int
}

// newWorld returns a fleet with a number of cells of ten endpoints each, and two nodes that publish the lists.
func newWorld(cells int) *world {
	w := &world{clock: clockwork.NewFakeClock(), endpoints: map[string][]damsonwinch.Endpoint{}}
	for cell := range cells {
		for number := range 10 {
			w.endpoints[cellName(cell)] = append(w.endpoints[cellName(cell)], damsonwinch.Endpoint{
				Life: damsonwinch.Life{ID: fmt.Sprintf("e-%d-%02d", cell, number), StartedUnixMs: 1}, Pool: "p", Labels: []string{"rack-1"},
				Capacity: damsonwinch.Resources{MilliCPU: 32_000, MemoryMB: 1024},
			})
		}
	}
	w.lists = map[string]*Lists{"first": NewLists(w.clock, 1), "second": NewLists(w.clock, 2)}
	return w
}

func cellName(number int) string { return fmt.Sprintf("p@%d", number) }

// publish makes nodes publish the endpoints as they are now.
func (w *world) publish(nodes ...string) {
	w.end++
	for _, node := range nodes {
		w.lists[node].Publish(w.endpoints, w.end, w.clock.Now())
	}
}

func (w *world) fetch(_ context.Context, address string, args wire.DirectoryArgs) (wire.DirectoryReply, error) {
	lists := w.lists[address]
	if lists == nil {
		return wire.DirectoryReply{}, errors.New("no such node")
	}
	reply := lists.Reply(args)
	for _, changes := range reply.Cells {
		w.received += len(changes.Endpoints) + len(changes.Removed)
	}
	return reply, nil
}

// follower returns a follower of a cell that keeps its newest list in the result.
func (w *world) follower(cell string) (*Follower, *[]string) {
	newest := &[]string{}
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	return NewFollower(Deps{Clock: w.clock, Logger: logger, Metrics: metrics.New(), Fetch: w.fetch}, Options{
		Cells: func() []string { return []string{cell} },
		OnList: func(_ string, endpoints []damsonwinch.Endpoint) {
			*newest = nil
			for _, endpoint := range endpoints {
				name := endpoint.Life.String()
				if endpoint.Draining {
					name += " draining"
				}
				*newest = append(*newest, name)
			}
		},
		OnUnreachable: func() { w.unreachable++ },
	}), newest
}

// ask makes a follower ask a node once.
func (f *Follower) ask(node string) error {
	f.dropOtherCells()
	return f.fetch(context.Background(), node)
}

// TestOwnersReceiveOnlyWhatConcernsThem checks growth: when each owner read all registrations, the endpoints that
// all owners received grew with the square of the fleet, and with each registration that said nothing new.
func TestOwnersReceiveOnlyWhatConcernsThem(t *testing.T) {
	for _, cells := range []int{8, 16, 32} {
		w := newWorld(cells)
		w.publish("first")
		var followers []*Follower
		askAll := func() int {
			w.received = 0
			for _, f := range followers {
				assert.NilError(t, f.ask("first"))
			}
			return w.received
		}
		for cell := range cells {
			f, _ := w.follower(cellName(cell))
			followers = append(followers, f)
		}
		assert.Equal(t, askAll(), 10*cells, "at first")
		w.publish("first")
		assert.Equal(t, askAll(), 0, "without a change")
		for cell := range cells {
			w.endpoints[cellName(cell)][3].Draining = true
		}
		w.publish("first")
		assert.Equal(t, askAll(), cells, "a change in each cell")
	}
}

func TestFollowerKeepsUpWithTheList(t *testing.T) {
	w := newWorld(1)
	w.endpoints["p@0"] = w.endpoints["p@0"][:3]
	w.publish("first", "second")
	f, newest := w.follower("p@0")
	assert.NilError(t, f.ask("first"))
	assert.Equal(t, strings.Join(*newest, ", "), "e-0-00@1, e-0-01@1, e-0-02@1")

	w.endpoints["p@0"][1].Draining = true
	w.endpoints["p@0"][2].Life.StartedUnixMs = 2
	w.endpoints["p@0"] = w.endpoints["p@0"][1:]
	w.publish("first")
	assert.NilError(t, f.ask("first"))
	assert.Equal(t, strings.Join(*newest, ", "), "e-0-01@1 draining, e-0-02@2")

	// The other node still lists an endpoint as usable that drains.
	assert.ErrorIs(t, f.ask("second"), errBehind)
	w.publish("second")
	*newest = nil
	assert.NilError(t, f.ask("second"))
	assert.Equal(t, strings.Join(*newest, ", "), "e-0-01@1 draining, e-0-02@2")
}

// A node that has not asked for long misses more removals than the lists keep. It then gets the complete list.
func TestFollowerMissesNoRemoval(t *testing.T) {
	w := newWorld(1)
	w.publish("first")
	f, newest := w.follower("p@0")
	assert.NilError(t, f.ask("first"))
	for range 2 * maxRemovals {
		removed := w.endpoints["p@0"][0]
		removed.Life.ID += "x"
		w.endpoints["p@0"] = append(w.endpoints["p@0"][1:], removed)
		w.publish("first")
	}
	assert.NilError(t, f.ask("first"))
	var expected []string
	for _, endpoint := range w.endpoints["p@0"] {
		expected = append(expected, endpoint.Life.String())
	}
	assert.Equal(t, len(*newest), 10)
	for _, name := range expected {
		assert.Assert(t, strings.Contains(strings.Join(*newest, " "), name), name)
	}
}

func TestListsThatAreOldOrUnknownAreNotUsed(t *testing.T) {
	w := newWorld(1)
	f, _ := w.follower("p@0")
	assert.ErrorIs(t, f.ask("first"), errUnknown)
	w.publish("first")
	w.clock.Advance(maxAge + time.Millisecond)
	assert.ErrorIs(t, f.ask("first"), errUnknown)
	w.lists["first"].Confirm(w.end, w.clock.Now())
	assert.NilError(t, f.ask("first"))
	w.lists["first"].Withdraw()
	assert.ErrorIs(t, f.ask("first"), errUnknown)

	f.recordFailure(context.Background(), errUnknown)
	w.clock.Advance(maxSilence - time.Millisecond)
	f.recordFailure(context.Background(), errUnknown)
	assert.Equal(t, w.unreachable, 0)
	w.clock.Advance(time.Millisecond)
	f.recordFailure(context.Background(), errUnknown)
	assert.Equal(t, w.unreachable, 1)
}
