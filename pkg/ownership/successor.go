package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

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
func (c Claim) HeldBy(m Member) bool {
	return !c.Released && c.Node == m.Node && c.Incarnation == m.Incarnation
}

// successor returns the member that should claim a cell whose owner is gone: the one with the fewest
// cells for its weight. It returns false if there are no members. All nodes that see the same members
// and claims choose the same member. If two nodes choose differently, the stream of claims accepts
// only the first of their claims.
func successor(cell string, members []Member, claims map[string]Claim) (Member, bool) {
	if len(members) == 0 {
		return Member{}, false
	}
	load := map[string]int{}
	for _, claim := range claims {
		if !claim.Released && claim.Cell != cell {
			load[claim.Node]++
		}
	}
	best := slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(
			// Compares load/weight by cross-multiplication, without fractions.
			cmp.Compare((load[a.Node]+1)*max(1, b.Weight), (load[b.Node]+1)*max(1, a.Weight)),
			cmp.Compare(tieBreak(cell, a), tieBreak(cell, b)),
			cmp.Compare(a.Node, b.Node),
		)
	})
	return best, true
}

// tieBreak returns a hash that orders equally loaded members, in another order for each cell, so
// that the cells spread over them.
func tieBreak(cell string, m Member) uint64 {
	return xxhash.Sum64String(cell + memberSeparator + m.Node)
}
