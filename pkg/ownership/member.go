package ownership

import (
	"strconv"
	"strings"
)

// Member is a node in the group of nodes.
type Member struct {
	Node string
	// Address is the IP and port of its calls.
	Address string
	// Weight is its share of a core, in thousandths.
	Weight int
	// Incarnation tells the lives of a node apart.
	Incarnation int
}

// is says whether two members are the same life of a node.
func (m Member) is(other Member) bool {
	return m.Node == other.Node && m.Incarnation == other.Incarnation
}

// memberSeparator stands between the parts of a member's name in the group: the
// group keeps nothing about a member but its name.
const (
	memberSeparator = "|"
	memberParts     = 4
)

// Name returns what the member is called in the group.
func (m Member) Name() string {
	return strings.Join([]string{m.Node, m.Address, strconv.Itoa(m.Weight), strconv.Itoa(m.Incarnation)}, memberSeparator)
}

// parseMember reads a member's name in the group.
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
