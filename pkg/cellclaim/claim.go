// Package cellclaim describes the claims by which nodes own cells, writes the stream of claims and decodes
// its records, and names the streams that hold the records of the claimed cells. It reads no clock.
package cellclaim

import (
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// Claim is the newest claim of a cell in the stream of claims.
type Claim struct {
	wire.CellClaim
	// Token is the fencing token that the claim gives its owner: the offset of the claim's record
	// plus one. So it rises with each claim.
	Token int
}

// HeldBy reports whether an incarnation of a node owns the cell by this claim.
func (c Claim) HeldBy(m membership.Member) bool {
	return !c.Released && c.Node == m.Node && c.Incarnation == m.Incarnation
}

// OfNode returns the claims by which any incarnation of a node owns cells.
func OfNode(claims map[string]Claim, node string) []Claim {
	var own []Claim
	for _, claim := range claims {
		if claim.Node == node && !claim.Released {
			own = append(own, claim)
		}
	}
	return own
}
