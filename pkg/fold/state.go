// Package fold turns the records of the fleet stream into the fleet's state.
// It is pure and deterministic: every process that folds the same records has
// the same state and has refused the same proposals.
package fold

import (
	"github.com/benbjohnson/immutable"

	"damsonwinch/pkg/table"
)

// FreePool is the pool of boxes that no service uses.
const FreePool = "free"

// State is the fleet after a number of records. It never changes; Fold returns
// a new one that shares most of its parts with the old.
type State struct {
	offset int
	at     int
	table  table.Table
	slots  int
	// boxes holds pointers to values that never change: the map copies a node of
	// 32 entries for each record, which whole boxes would make 13 KB.
	boxes   *immutable.SortedMap[string, *Box]
	pools   *immutable.SortedMap[string, Pool]
	members *immutable.SortedMap[string, Member]
	senders *immutable.SortedMap[string, Sender]
	writers *immutable.SortedMap[string, writer]
	// released holds, by node, the newest entry that was released. A released
	// sender that is cut off doesn't know it; if a late renewal made it a sender
	// again, its hall would extend a lease on boxes that others have by now.
	released *immutable.SortedMap[string, int]
}

// writer remembers the newest batch of a keeper, to refuse late copies.
type writer struct {
	Incarnation int `json:"incarnation"`
	Number      int `json:"number"`
}

// New returns the state before the first record. The table is the empty one.
func New(empty table.Table) State {
	return State{
		table:   empty,
		boxes:   immutable.NewSortedMap[string, *Box](nil),
		pools:   immutable.NewSortedMap[string, Pool](nil),
		members: immutable.NewSortedMap[string, Member](nil),
		senders: immutable.NewSortedMap[string, Sender](nil),
		writers: immutable.NewSortedMap[string, writer](nil),

		released: immutable.NewSortedMap[string, int](nil),
	}
}

// Offset returns the offset of the next record to fold.
func (s State) Offset() int {
	return s.offset
}

// LogTimeMs returns the log's time of the newest folded record, in milliseconds since
// 1970.
func (s State) LogTimeMs() int {
	return s.at
}

// Table returns the table in force.
func (s State) Table() table.Table {
	return s.table
}

// Slots returns the slots of all enrolled boxes that are not gone.
func (s State) Slots() int {
	return s.slots
}

// Box returns a box by its name.
func (s State) Box(name string) (Box, bool) {
	box, known := s.boxes.Get(name)
	if !known {
		return Box{}, false
	}
	return *box, true
}

// Boxes returns all boxes in order of their names.
func (s State) Boxes() []Box {
	found := make([]Box, 0, s.boxes.Len())
	for entries := s.boxes.Iterator(); !entries.Done(); {
		_, box, _ := entries.Next()
		found = append(found, *box)
	}
	return found
}

// Pool returns the summary of a pool.
func (s State) Pool(name string) Pool {
	pool, _ := s.pools.Get(name)
	return pool
}

// Member returns an entry box's place in the roster.
func (s State) Member(node string) (Member, bool) {
	return s.members.Get(node)
}

// Members returns the roster of all halls in order of the nodes' names.
func (s State) Members() []Member {
	found := make([]Member, 0, s.members.Len())
	for entries := s.members.Iterator(); !entries.Done(); {
		_, member, _ := entries.Next()
		found = append(found, member)
	}
	return found
}

// MembersInZone returns the members of one hall.
func (s State) MembersInZone(hall string) []Member {
	var found []Member
	for _, member := range s.Members() {
		if member.Zone == hall {
			found = append(found, member)
		}
	}
	return found
}

// Sender returns a sender by its key.
func (s State) Sender(key SenderKey) (Sender, bool) {
	return s.senders.Get(key.String())
}

// Senders returns all senders in order of their keys.
func (s State) Senders() []Sender {
	found := make([]Sender, 0, s.senders.Len())
	for entries := s.senders.Iterator(); !entries.Done(); {
		_, sender, _ := entries.Next()
		found = append(found, sender)
	}
	return found
}

// withBox returns the state with a changed box and the pool summaries that
// follow from it.
func (s State) withBox(box Box) State {
	if old, known := s.boxes.Get(box.Info.Name); known {
		s = s.withoutShare(*old)
	}
	s.boxes = s.boxes.Set(box.Info.Name, &box)
	return s.withShare(box)
}

func (s State) withoutShare(box Box) State {
	pool, _ := s.pools.Get(box.Pool)
	s.pools = s.pools.Set(box.Pool, pool.without(box))
	s.slots -= box.capacity()
	return s.withSenderBoxes(box.Sender, -1)
}

func (s State) withShare(box Box) State {
	pool, _ := s.pools.Get(box.Pool)
	s.pools = s.pools.Set(box.Pool, pool.with(box))
	s.slots += box.capacity()
	return s.withSenderBoxes(box.Sender, 1)
}

func (s State) withSenderBoxes(key SenderKey, change int) State {
	sender, known := s.senders.Get(key.String())
	if !known {
		return s
	}
	sender.Boxes += change
	s.senders = s.senders.Set(key.String(), sender)
	return s
}
