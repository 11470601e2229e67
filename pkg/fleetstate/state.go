// Package fleetstate applies the records of the fleet stream to the fleet's state. It
// is pure and deterministic: every process that applies the same records has
// the same state and has refused the same proposals.
package fleetstate

import (
	"github.com/benbjohnson/immutable"

	"damsonwinch/pkg/table"
)

// FreePool is the pool of boxes that no service uses.
const FreePool = "free"

// State is the state of the fleet after a number of log records. It is
// immutable: Apply returns a new state that shares most of its data with the
// old one.
type State struct {
	offset    int // Offset of the next record to apply.
	logTimeMs int // Log time of the newest applied record.
	table     table.Table
	slots     int // See Slots.
	// boxes holds pointers to values that never change. For each record the map
	// copies a node of 32 entries, which would take 13 KB if it held the boxes
	// themselves.
	boxes   *immutable.SortedMap[string, *Box]
	pools   *immutable.SortedMap[string, Pool]
	members *immutable.SortedMap[string, Member] // By node.
	senders *immutable.SortedMap[string, Sender] // By the text of the key.
	// lastBatches holds the newest applied batch of each keeper, by node.
	lastBatches *immutable.SortedMap[string, lastBatch]
	// released holds, by node, the newest entry incarnation that was released. A
	// released sender that is cut off doesn't know of its release. If a late
	// renewal made it a sender again, its zone would extend its lease on boxes
	// that have other senders by now.
	released *immutable.SortedMap[string, int]
}

// lastBatch identifies the newest applied batch of a keeper, so that duplicates
// and late batches are refused.
type lastBatch struct {
	Incarnation int `json:"incarnation"`
	Number      int `json:"number"`
}

// New returns the state before the first record, with the given empty table.
func New(empty table.Table) State {
	return State{
		table:       empty,
		boxes:       immutable.NewSortedMap[string, *Box](nil),
		pools:       immutable.NewSortedMap[string, Pool](nil),
		members:     immutable.NewSortedMap[string, Member](nil),
		senders:     immutable.NewSortedMap[string, Sender](nil),
		lastBatches: immutable.NewSortedMap[string, lastBatch](nil),

		released: immutable.NewSortedMap[string, int](nil),
	}
}

// Offset returns the offset of the next record to apply.
func (s State) Offset() int {
	return s.offset
}

// LogTimeMs returns the log time of the newest applied record: when the log
// accepted it, in milliseconds since 1970. It never decreases.
func (s State) LogTimeMs() int {
	return s.logTimeMs
}

// Table returns the shared table after the newest accepted edit.
func (s State) Table() table.Table {
	return s.table
}

// Slots returns the number of slots of all enrolled boxes, without those whose
// health is gone.
func (s State) Slots() int {
	return s.slots
}

// Box returns the box with a name and whether it is enrolled.
func (s State) Box(name string) (Box, bool) {
	box, known := s.boxes.Get(name)
	if !known {
		return Box{}, false
	}
	return *box, true
}

// Boxes returns all enrolled boxes, sorted by name.
func (s State) Boxes() []Box {
	found := make([]Box, 0, s.boxes.Len())
	for it := s.boxes.Iterator(); !it.Done(); {
		_, box, _ := it.Next()
		found = append(found, *box)
	}
	return found
}

// Pool returns the summary of a pool; it is zero if the pool has no boxes.
func (s State) Pool(name string) Pool {
	pool, _ := s.pools.Get(name)
	return pool
}

// Member returns the keeper of a node and whether it is a member.
func (s State) Member(node string) (Member, bool) {
	return s.members.Get(node)
}

// Members returns the members of all zones, sorted by node.
func (s State) Members() []Member {
	found := make([]Member, 0, s.members.Len())
	for it := s.members.Iterator(); !it.Done(); {
		_, member, _ := it.Next()
		found = append(found, member)
	}
	return found
}

// MembersInZone returns the members of one zone, sorted by node.
func (s State) MembersInZone(zone string) []Member {
	var found []Member
	for _, member := range s.Members() {
		if member.Zone == zone {
			found = append(found, member)
		}
	}
	return found
}

// Sender returns the sender with a key and whether there is one.
func (s State) Sender(key SenderKey) (Sender, bool) {
	return s.senders.Get(key.String())
}

// Senders returns all senders, sorted by the text of their keys.
func (s State) Senders() []Sender {
	found := make([]Sender, 0, s.senders.Len())
	for it := s.senders.Iterator(); !it.Done(); {
		_, sender, _ := it.Next()
		found = append(found, sender)
	}
	return found
}

// withBox returns the state with a new or changed box, and with the pool
// summaries, the fleet's slots and the senders' box counts updated for it.
func (s State) withBox(box Box) State {
	if old, known := s.boxes.Get(box.Info.Name); known {
		s = s.withoutBoxCounts(*old)
	}
	s.boxes = s.boxes.Set(box.Info.Name, &box)
	return s.withBoxCounts(box)
}

// withoutBoxCounts subtracts a box from its pool's summary, the fleet's slots
// and its sender's box count.
func (s State) withoutBoxCounts(box Box) State {
	pool, _ := s.pools.Get(box.Pool)
	s.pools = s.pools.Set(box.Pool, pool.without(box))
	s.slots -= box.capacity()
	return s.withSenderBoxCount(box.Sender, -1)
}

// withBoxCounts adds a box to its pool's summary, the fleet's slots and its
// sender's box count.
func (s State) withBoxCounts(box Box) State {
	pool, _ := s.pools.Get(box.Pool)
	s.pools = s.pools.Set(box.Pool, pool.with(box))
	s.slots += box.capacity()
	return s.withSenderBoxCount(box.Sender, 1)
}

// withSenderBoxCount adds delta to a sender's box count, if there is such a sender.
func (s State) withSenderBoxCount(key SenderKey, delta int) State {
	sender, known := s.senders.Get(key.String())
	if !known {
		return s
	}
	sender.Boxes += delta
	s.senders = s.senders.Set(key.String(), sender)
	return s
}
