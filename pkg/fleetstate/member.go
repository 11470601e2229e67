package fleetstate

import (
	"strconv"
	"strings"
)

// Member is a keeper that the log lists as a member of its zone. The members of a
// zone extend the leases of its senders and release the senders that are lost.
type Member struct {
	Node              string `json:"node"`
	Zone              string `json:"hall"`
	KeeperIncarnation int    `json:"keeper"`
	// Address is the IP and port of the keeper's RPC service.
	Address string `json:"address"`
	// JoinedOffset is the offset of the record by which this incarnation became a
	// member.
	JoinedOffset int `json:"joined"`
	// RenewedAt is the log time of the last renewal, in milliseconds since 1970.
	RenewedAt int `json:"renewed_at"`
}

// SenderKey identifies one incarnation of an entry.
type SenderKey struct {
	Node        string `json:"node,omitempty"`
	Incarnation int    `json:"entry,omitempty"`
}

// IsNone reports whether the key identifies no sender.
func (k SenderKey) IsNone() bool {
	return k.Node == ""
}

// String returns the key as text, such as "node#17"; it is empty for no sender.
func (k SenderKey) String() string {
	if k.IsNone() {
		return ""
	}
	return k.Node + "#" + strconv.Itoa(k.Incarnation)
}

// ParseSenderKey returns the key whose text String returned, or the key of no
// sender for any other text.
func ParseSenderKey(text string) SenderKey {
	node, number, found := strings.Cut(text, "#")
	incarnation, err := strconv.Atoi(number)
	if !found || err != nil {
		return SenderKey{}
	}
	return SenderKey{Node: node, Incarnation: incarnation}
}

// Sender is an entry that holds a lease, so that boxes can be assigned to it.
type Sender struct {
	Key  SenderKey `json:"key"`
	Zone string    `json:"hall"`
	// Address is the IP and port of the entry's RPC service.
	Address string `json:"address"`
	// Seq is the sequence number of the last renewal of the lease.
	Seq int `json:"seq"`
	// AppliedOffset is the offset of the next record that the sender had to apply
	// when it issued that renewal.
	AppliedOffset int `json:"folded"`
	// RenewedAt is the log time of that renewal, in milliseconds since 1970.
	RenewedAt int `json:"renewed_at"`
	// Leaving reports whether the entry is in a planned stop. It gets no more boxes.
	Leaving bool `json:"leaving,omitempty"`
	// Boxes counts the boxes that have this sender.
	Boxes int `json:"boxes"`
}
