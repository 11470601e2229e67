package node

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/ownership"
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
