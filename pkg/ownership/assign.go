package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damsonwinch/pkg/wire"
)

// Claim is who owns a cell, by the newest record in the stream of claims.
type Claim struct {
	wire.CellClaim
	// Token is the epoch that the claim gives; it rises with each claim.
	Token int
}

// HeldBy says whether a claim is a member's.
func (c Claim) HeldBy(m Member) bool {
	return !c.Released && c.Node == m.Node && c.Incarnation == m.Incarnation
}

// heir returns the member that should claim a cell whose owner is gone: the one
// with the least to carry for its share of a core. All nodes come to the same
// answer, as far as they see the same members and claims; where two don't, the
// stream of claims takes the first.
func heir(cell string, members []Member, claims map[string]Claim) (Member, bool) {
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
			// Compares load/weight without fractions.
			cmp.Compare((load[a.Node]+1)*max(1, b.Weight), (load[b.Node]+1)*max(1, a.Weight)),
			cmp.Compare(rank(cell, a), rank(cell, b)),
			cmp.Compare(a.Node, b.Node),
		)
	})
	return best, true
}

// rank spreads equal choices over the members.
func rank(cell string, m Member) uint64 {
	return xxhash.Sum64String(cell + memberSeparator + m.Node)
}
