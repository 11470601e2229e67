// Package succession decides which member of the group of nodes should claim a cell next. All nodes
// that see the same members and owners choose the same member. It does no I/O and reads no clock.
package succession

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damsonwinch/pkg/membership"
)

// Ranking orders members by how soon they should claim a cell: those with the fewest cells for
// their weight come first. It is computed once for all cells, so that its cost grows with the number of
// members and not with that of members times cells.
type Ranking struct {
	// candidates are sorted by their load for their weight, then by their names.
	candidates []candidate
	// firstGroup is the number of candidates at the start that have the same load for their weight.
	firstGroup int
	byNode     map[string]candidate
	// owners are the owners by which the load was counted, by cell.
	owners map[string]string
}

// AnyMember is the eligible function that considers all members.
func AnyMember(membership.Member) bool { return true }

// candidate is a member and the number of cells that it owns.
type candidate struct {
	membership.Member
	load int
}

// Rank returns the ranking of members. owners holds the name of the node that owns each cell, by cell,
// without the cells that have no owner.
func Rank(members []membership.Member, owners map[string]string) *Ranking {
	load := make(map[string]int, len(owners))
	for _, node := range owners {
		load[node]++
	}
	r := &Ranking{candidates: make([]candidate, 0, len(members)), byNode: make(map[string]candidate, len(members)), owners: owners}
	for _, member := range members {
		c := candidate{Member: member, load: load[member.Node]}
		r.candidates = append(r.candidates, c)
		r.byNode[member.Node] = c
	}
	slices.SortFunc(r.candidates, func(a, b candidate) int {
		return cmp.Or(compareLoad(a, b), cmp.Compare(a.Node, b.Node))
	})
	for r.firstGroup < len(r.candidates) && compareLoad(r.candidates[r.firstGroup], r.candidates[0]) == 0 {
		r.firstGroup++
	}
	return r
}

// compareLoad compares the loads for their weight that two candidates would have with one more cell.
func compareLoad(a, b candidate) int {
	// Cross-multiplication avoids fractions.
	return cmp.Compare((a.load+1)*max(1, b.Weight), (b.load+1)*max(1, a.Weight))
}

// Successor returns the member that should claim a cell: the one with the fewest cells for its weight,
// not counting that cell. It considers only members for which eligible returns true, and returns false
// if there is none. If two nodes choose differently, the stream of claims accepts only the first of
// their claims.
func (r *Ranking) Successor(cell string, eligible func(membership.Member) bool) (membership.Member, bool) {
	owner, owned := r.owner(cell)
	var choice successorChoice
	for _, c := range r.candidates {
		if choice.found && compareLoad(c, choice.best) > 0 {
			break
		}
		if !(owned && c.Node == owner.Node) && eligible(c.Member) {
			choice.offer(cell, c)
		}
	}
	if owned && eligible(owner.Member) {
		owner.load--
		choice.offer(cell, owner)
	}
	return choice.best.Member, choice.found
}

// owner returns the candidate that owns a cell, and whether one does.
func (r *Ranking) owner(cell string) (candidate, bool) {
	node, owned := r.owners[cell]
	if !owned {
		return candidate{}, false
	}
	owner, ranked := r.byNode[node]
	return owner, ranked
}

// MaySucceed reports whether a member may be the successor of the owner of some cell. Most members of a
// large fleet may not: several others have fewer cells for their weight, and only one of them can be the
// cell's owner itself.
func (r *Ranking) MaySucceed(m membership.Member) bool {
	own, ranked := r.byNode[m.Node]
	if !ranked {
		return false
	}
	return r.firstGroup < 2 || compareLoad(own, r.candidates[0]) == 0
}

// minHandOverRatio is how many times as large an owner's load per weight must be as another member's
// for a cell to be handed over to that member. A cell takes up to about 0.1 of a core. The weakest
// nodes that users run have a fortieth of the weight of the strongest, and make no progress once
// they own a cell.
const minHandOverRatio = 4

// FarStronger returns the member that should own a cell instead of its owner, and whether there is one. The
// owner's load per weight is then at least minHandOverRatio times the member's.
func (r *Ranking) FarStronger(cell string, owner membership.Member) (membership.Member, bool) {
	best, found := r.Successor(cell, AnyMember)
	if !found || best.Node == owner.Node || r.loadPerWeight(best, cell)*minHandOverRatio > r.loadPerWeight(owner, cell) {
		return membership.Member{}, false
	}
	return best, true
}

// loadPerWeight returns the number of cells that a member would own if it owned the given cell as well,
// divided by its weight.
func (r *Ranking) loadPerWeight(m membership.Member, cell string) float64 {
	load := r.byNode[m.Node].load
	if owner, owned := r.owner(cell); !owned || owner.Node != m.Node {
		load++
	}
	return float64(load) / float64(max(1, m.Weight))
}

// successorChoice holds the best of the candidates that were offered for a cell.
type successorChoice struct {
	best    candidate
	tieRank uint64
	found   bool
}

// offer takes a candidate if it comes before the best one so far.
func (c *successorChoice) offer(cell string, offered candidate) {
	rank := TieRank(cell, offered.Node)
	if c.found && cmp.Or(compareLoad(offered, c.best), cmp.Compare(rank, c.tieRank), cmp.Compare(offered.Node, c.best.Node)) >= 0 {
		return
	}
	c.best, c.tieRank, c.found = offered, rank, true
}

// hashSeparator stands between the two names in the input of TieRank.
const hashSeparator = "|"

// TieRank returns a hash that orders nodes which are equal otherwise, in another order for each key. With
// the name of a cell as the key, the cells spread over equally loaded members.
func TieRank(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString(hashSeparator)
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
