package fold

import (
	"strconv"
	"strings"
)

// Member is a keeper's place in its hall's roster.
type Member struct {
	Node              string `json:"node"`
	Zone              string `json:"hall"`
	KeeperIncarnation int    `json:"keeper"`
	Address           string `json:"address"`
	// JoinedOffset is the offset of the record by which this incarnation joined.
	JoinedOffset int `json:"joined"`
	// RenewedAt is the log's time of its last renewal, in milliseconds since
	// 1970.
	RenewedAt int `json:"renewed_at"`
}

// SenderKey names one incarnation of an entry.
type SenderKey struct {
	Node        string `json:"node,omitempty"`
	Incarnation int    `json:"entry,omitempty"`
}

// IsNone says whether the key names no sender.
func (k SenderKey) IsNone() bool {
	return k.Node == ""
}

// String returns the key as one word.
func (k SenderKey) String() string {
	if k.IsNone() {
		return ""
	}
	return k.Node + "#" + strconv.Itoa(k.Incarnation)
}

// ParseSenderKey reads what String wrote; anything else is no sender.
func ParseSenderKey(text string) SenderKey {
	node, number, found := strings.Cut(text, "#")
	entry, err := strconv.Atoi(number)
	if !found || err != nil {
		return SenderKey{}
	}
	return SenderKey{Node: node, Incarnation: entry}
}

// Sender is an entry that may hold boxes.
type Sender struct {
	Key     SenderKey `json:"key"`
	Zone    string    `json:"hall"`
	Address string    `json:"address"`
	// Seq is the number of its last renewal, Folded the offset that it had
	// folded when it issued that.
	Seq           int  `json:"seq"`
	AppliedOffset int  `json:"folded"`
	RenewedAt     int  `json:"renewed_at"`
	Leaving       bool `json:"leaving,omitempty"`
	// Boxes counts the boxes it sends to.
	Boxes int `json:"boxes"`
}
