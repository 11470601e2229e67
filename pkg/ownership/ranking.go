package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"damsonwinch/pkg/membership"
)

// ranking orders the live members by how soon they should claim a cell: those with the fewest cells for
// their weight come first. It is computed once for all cells, so that its cost grows with the number of
// members and not with that of members times cells.
type ranking struct {
	// candidates are sorted by their load for their weight, then by their names.
	candidates []candidate
	// firstGroup is the number of candidates at the start that have the same load for their weight.
	firstGroup int
	byNode     map[string]candidate
	// claims are the claims by which the load was counted.
	claims map[string]Claim
}

// rankingLifetime is how long a ranking is used. Which members are alive also changes as time passes.
const rankingLifetime = tickInterval

// ranking returns the ranking of the live members by the present claims.
func (o *Ownership) ranking() *ranking {
	s := &o.state
	now := o.deps.Clock.Now()
	if s.ranking == nil || now.Sub(s.rankedAt) >= rankingLifetime {
		s.ranking, s.rankedAt = newRanking(o.liveMembers(), o.liveClaims()), now
	}
	return s.ranking
}

// invalidateRanking is called when the claims, the members or what is known of their health have
// changed.
func (o *Ownership) invalidateRanking() {
	o.state.ranking, o.state.watchedStale = nil, true
}

// anyMember is the eligible function that considers all members.
func anyMember(membership.Member) bool { return true }

// candidate is a member and the number of cells that it owns.
type candidate struct {
	membership.Member
	load int
}

// newRanking returns the ranking of members that own cells by the given claims.
func newRanking(members []membership.Member, claims map[string]Claim) *ranking {
	load := make(map[string]int, len(claims))
	for _, claim := range claims {
		if !claim.Released {
			load[claim.Node]++
		}
	}
	r := &ranking{candidates: make([]candidate, 0, len(members)), byNode: make(map[string]candidate, len(members)), claims: claims}
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

// successor returns the member that should claim a cell: the one with the fewest cells for its weight,
// not counting that cell. It considers only members for which eligible returns true, and returns false
// if there is none. All nodes that see the same members and claims choose the same member. If two nodes
// choose differently, the stream of claims accepts only the first of their claims.
func (r *ranking) successor(cell string, eligible func(membership.Member) bool) (membership.Member, bool) {
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
func (r *ranking) owner(cell string) (candidate, bool) {
	claim, claimed := r.claims[cell]
	if !claimed || claim.Released {
		return candidate{}, false
	}
	owner, live := r.byNode[claim.Node]
	return owner, live
}

// maySucceed reports whether a member may be the successor of the owner of some cell. Most members of a
// large fleet may not: several others have fewer cells for their weight, and only one of them can be the
// cell's owner itself.
func (r *ranking) maySucceed(m membership.Member) bool {
	own, ranked := r.byNode[m.Node]
	if !ranked {
		return false
	}
	return r.firstGroup < 2 || compareLoad(own, r.candidates[0]) == 0
}

// loadPerWeight returns the number of cells that a member would own if it owned the given cell as well,
// divided by its weight.
func (r *ranking) loadPerWeight(m membership.Member, cell string) float64 {
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
	rank := tieRank(cell, offered.Node)
	if c.found && cmp.Or(compareLoad(offered, c.best), cmp.Compare(rank, c.tieRank), cmp.Compare(offered.Node, c.best.Node)) >= 0 {
		return
	}
	c.best, c.tieRank, c.found = offered, rank, true
}

// hashSeparator stands between the names of a cell and a node in the input of tieRank.
const hashSeparator = "|"

// tieRank returns a hash that orders equally loaded members, in another order for each cell, so that the
// cells spread over them.
func tieRank(cell, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(cell)
	_, _ = digest.WriteString(hashSeparator)
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
