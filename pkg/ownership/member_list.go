package ownership

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// memberList holds the members of the group as they were last read, at most one incarnation of each node.
type memberList struct {
	members []Member
	// topicCount is the number of topics of which the group had assigned partitions, and nearlyFull reports
	// whether the list may lack members, because hardly any partition was spare.
	topicCount int
	nearlyFull bool
	// digest differs from those of lists with other contents.
	digest int
	byNode map[string]Member
	// strongerCount is the number of members that would take over a cell before this node if all
	// nodes owned equally many cells: those with more weight, and those with the same weight whose
	// names come first.
	strongerCount int
}

// newMemberList returns the list of the given members. self is this node, which strongerCount compares
// the members with.
func newMemberList(members []Member, topicCount int, nearlyFull bool, self Member) memberList {
	l := memberList{members: members, topicCount: topicCount, nearlyFull: nearlyFull, byNode: make(map[string]Member, len(members))}
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.Itoa(topicCount) + strconv.FormatBool(nearlyFull))
	for _, member := range members {
		l.byNode[member.Node] = member
		_, _ = digest.WriteString(memberSeparator + member.Name())
		if cmp.Or(cmp.Compare(self.Weight, member.Weight), cmp.Compare(member.Node, self.Node)) < 0 {
			l.strongerCount++
		}
	}
	l.digest = int(digest.Sum64())
	return l
}

// listsOwner reports whether the incarnation that holds a claim is a member.
func (l memberList) listsOwner(claim Claim) bool {
	return claim.HeldBy(l.byNode[claim.Node])
}

// listsLaterIncarnation reports whether a later incarnation of the node that made a claim is a member.
func (l memberList) listsLaterIncarnation(claim Claim) bool {
	return l.byNode[claim.Node].Incarnation > claim.Incarnation
}
