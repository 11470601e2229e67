package ownership

import (
	"strconv"
	"strings"
)

// Member is one incarnation of a node in the group of nodes.
type Member struct {
	// Node is the name of the node.
	Node string
	// Address is the IP address and port at which the node takes calls.
	Address string
	// Weight is the CPU that the node may use, in thousandths of a core.
	Weight int
	// Incarnation is the number of the run of the node's process. Later runs have higher numbers.
	Incarnation int
}

// sameIncarnation reports whether two members are the same incarnation of the same node.
func (m Member) sameIncarnation(other Member) bool {
	return m.Node == other.Node && m.Incarnation == other.Incarnation
}

// A member's name in the group consists of memberParts parts with memberSeparator between them. It
// holds all data on the member, because the group keeps nothing but the name.
const (
	memberSeparator = "|"
	memberParts     = 4
)

// Name returns the member's name in the group, from which parseMember reads the member.
func (m Member) Name() string {
	return strings.Join([]string{m.Node, m.Address, strconv.Itoa(m.Weight), strconv.Itoa(m.Incarnation)}, memberSeparator)
}

// parseMember returns the member with a name in the group, and whether the name is valid.
func parseMember(name string) (Member, bool) {
	parts := strings.Split(name, memberSeparator)
	if len(parts) != memberParts {
		return Member{}, false
	}
	weight, err := strconv.Atoi(parts[2])
	if err != nil {
		return Member{}, false
	}
	incarnation, err := strconv.Atoi(parts[3])
	if err != nil {
		return Member{}, false
	}
	return Member{Node: parts[0], Address: parts[1], Weight: weight, Incarnation: incarnation}, true
}
