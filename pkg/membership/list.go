package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"damsonwinch"
)

// MinSparePercent is by how many percent the number of partitions must exceed that of the listed
// members for the list to be taken for complete. Of 147 nodes on 96 partitions one was assigned two
// partitions, and 52 were assigned none.
const MinSparePercent = 25

// List holds the members of the group as they were last read, at most one incarnation of each node.
type List struct {
	members []Member
	// topicCount is the number of topics of which the group had assigned partitions.
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

// NewList returns the list of the members with the given names in the group. It leaves out names that
// are not valid. self is this node, which StrongerCount compares the members with. topicCount is
// the number of topics of which the group had assigned partitions, and nearlyFull what NearlyFull returns.
func NewList(names []string, topicCount int, nearlyFull bool, self Member) List {
	members := membersByNode(names)
	l := List{members: members, topicCount: topicCount, nearlyFull: nearlyFull, byNode: make(map[string]Member, len(members))}
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.Itoa(topicCount) + strconv.FormatBool(nearlyFull))
	for _, member := range members {
		l.byNode[member.Node] = member
		_, _ = digest.WriteString(separator + member.Name())
		if cmp.Or(cmp.Compare(self.Weight, member.Weight), cmp.Compare(member.Node, self.Node)) < 0 {
			l.strongerCount++
		}
	}
	l.digest = int(digest.Sum64())
	return l
}

// FromAssignments returns the list of the members that hold a partition.
func FromAssignments(assignments []damsonwinch.Assignment, self Member) List {
	names := make([]string, 0, len(assignments))
	for _, assignment := range assignments {
		names = append(names, assignment.Member)
	}
	return NewList(names, countTopics(assignments), nearlyFull(assignments), self)
}

// Members returns the members, ordered by node name. Callers must not change the slice.
func (l List) Members() []Member { return l.members }

// NearlyFull reports whether the list may lack members, because hardly any partition was spare.
func (l List) NearlyFull() bool { return l.nearlyFull }

// StrongerCount returns the number of members that have more weight than this node, or the same weight
// and a name that comes first.
func (l List) StrongerCount() int { return l.strongerCount }

// Has reports whether an incarnation of a node is a member.
func (l List) Has(node string, incarnation int) bool {
	return l.byNode[node].SameIncarnation(Member{Node: node, Incarnation: incarnation})
}

// HasLater reports whether a later incarnation of a node is a member.
func (l List) HasLater(node string, incarnation int) bool {
	return l.byNode[node].Incarnation > incarnation
}

// membersByNode returns the members with the given names in the group, ordered by node name. Of several
// incarnations of a node it returns only the newest.
func membersByNode(names []string) []Member {
	byNode := make(map[string]Member, len(names))
	for _, name := range names {
		member, valid := parse(name)
		if valid && member.Incarnation >= byNode[member.Node].Incarnation {
			byNode[member.Node] = member
		}
	}
	members := make([]Member, 0, len(byNode))
	for _, node := range slices.Sorted(maps.Keys(byNode)) {
		members = append(members, byNode[node])
	}
	return members
}

// nearlyFull reports whether there are hardly more partitions than members that hold one. Then there
// may be members without a partition, which the assignments don't show.
func nearlyFull(assignments []damsonwinch.Assignment) bool {
	holders := make(map[string]bool, len(assignments))
	for _, assignment := range assignments {
		holders[assignment.Member] = true
	}
	return len(assignments)*100 < len(holders)*(100+MinSparePercent)
}

// countTopics returns the number of topics that have assigned partitions.
func countTopics(assignments []damsonwinch.Assignment) int {
	topics := map[string]bool{}
	for _, assignment := range assignments {
		topics[assignment.Stream.Topic] = true
	}
	return len(topics)
}
