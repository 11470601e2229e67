// Package membership keeps a node in the group of nodes that the store keeps, and reads the list of members
// from the group's assignments of partitions or from another node's reply. All that is known of a member is
// in its name in the group. The package reads no clock.
package membership

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

// SameIncarnation reports whether two members are the same incarnation of the same node.
func (m Member) SameIncarnation(other Member) bool {
	return m.Node == other.Node && m.Incarnation == other.Incarnation
}

// A member's name in the group consists of nameParts parts with separator between them. It
// holds all data on the member, because the group keeps nothing but the name.
const (
	separator = "|"
	nameParts = 4
)

// Name returns the member's name in the group, from which parse reads the member.
func (m Member) Name() string {
	return strings.Join([]string{m.Node, m.Address, strconv.Itoa(m.Weight), strconv.Itoa(m.Incarnation)}, separator)
}

// parse returns the member with a name in the group, and whether the name is valid.
func parse(name string) (Member, bool) {
	parts := strings.Split(name, separator)
	if len(parts) != nameParts {
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
