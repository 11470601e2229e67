package node

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/directory"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// readers returns how many nodes of a fleet, each of which owns one cell, read all registrations from the store.
func readers(t *testing.T, cells int, rejectsOverload bool) int {
	t.Helper()
	claims := map[string]cellclaim.Claim{fleetCell: {CellClaim: wire.CellClaim{Cell: fleetCell, Node: "planner"}}}
	for number := range cells {
		cell := fmt.Sprintf("p@%d", number)
		claims[cell] = cellclaim.Claim{CellClaim: wire.CellClaim{Cell: cell, Node: "node-" + cell, Address: "address of " + cell}}
	}
	reading := 0
	for cell, claim := range claims {
		n := &Node{deps: Deps{Clock: clockwork.NewFakeClock()}, options: Options{Self: membership.Member{Node: claim.Node}}}
		n.state.configuration.Pools = []damsonwinch.Pool{{Name: "p", RejectsOverload: rejectsOverload}}
		runners := map[string]cellRunner{}
		if cell != fleetCell {
			runners[cell] = &owner.Owner{}
		}
		n.runners.Store(&runners)
		n.view.Store(&ownership.View{Claims: claims})
		access := n.chooseEndpointAccess()
		assert.Assert(t, access.fromStore != (len(access.upstreams) == listUpstreamCount) || cell == fleetCell)
		if access.fromStore {
			reading++
		}
	}
	return reading
}

// TestFewNodesReadTheRegistrations checks growth: each endpoint writes a registration every second or two, and when
// the owner of each cell read them all, the store sent bytes that grew with the square of the fleet.
func TestFewNodesReadTheRegistrations(t *testing.T) {
	for _, cells := range []int{20, 40, 80} {
		assert.Equal(t, readers(t, cells, true), listUpstreamCount)
	}
	assert.Equal(t, readers(t, 10, true), 10, "a small fleet")
	// An owner must know how old a report of an endpoint's capacity is if the endpoint accepts any task.
	assert.Equal(t, readers(t, 20, false), 20)
}

// A node that starts to read the registrations for others must tell them what it knows already. Until a registration
// changed, they got no lists from it, and read all registrations from the store.
func TestListsArePublishedThoughNothingHasChanged(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := &Node{deps: Deps{Clock: clock}, lists: directory.NewLists(clock, 1)}
	n.state.layout, n.state.registry, n.state.placements = shard.New(1, []string{"p"}), newRegistry(decodeRegistration), newPlacements()
	n.state.configuration.Pools = []damsonwinch.Pool{{Name: "p"}}
	_, _ = n.state.registry.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p")}, requestedAt: clock.Now()})
	for serves, endpoints := range map[bool]int{false: 0, true: 1} {
		n.lists.Withdraw()
		n.endpointAccess.Store(&endpointAccess{fromStore: true, serves: serves})
		n.publishLists(false)
		listed := 0
		for _, changes := range n.lists.Reply(wire.DirectoryArgs{Cells: []wire.KnownCell{{Cell: "p"}}}).Cells {
			listed += len(changes.Endpoints)
		}
		assert.Equal(t, listed, endpoints, "serves %v", serves)
	}
}
