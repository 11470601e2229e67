package ownership

import "cmp"

// roster is the group's members as they were last read, at most one life of each node.
type roster struct {
	members []Member
	byNode  map[string]Member
	// ahead counts those that would take a cell over before this node if all had the same
	// to carry: the stronger ones, and of equal ones those whose names come first.
	ahead int
}

func newRoster(members []Member, self Member) roster {
	r := roster{members: members, byNode: make(map[string]Member, len(members))}
	for _, member := range members {
		r.byNode[member.Node] = member
		if cmp.Or(cmp.Compare(self.Weight, member.Weight), cmp.Compare(member.Node, self.Node)) < 0 {
			r.ahead++
		}
	}
	return r
}

// lists says whether the maker of a claim is a member.
func (r roster) lists(claim Claim) bool {
	return claim.HeldBy(r.byNode[claim.Node])
}

// listsLater says whether a later life of the node that made a claim is a member.
func (r roster) listsLater(claim Claim) bool {
	return r.byNode[claim.Node].Incarnation > claim.Incarnation
}
