package fold

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// Snapshot is the state in the form that is kept in the log.
type Snapshot struct {
	Offset int `json:"offset"`
	// Hash is the digest of State, in hexadecimal.
	Hash  string          `json:"hash"`
	State json.RawMessage `json:"state"`
}

// image is the state's own part of a snapshot.
type image struct {
	At      int               `json:"at"`
	Table   json.RawMessage   `json:"table"`
	Boxes   []Box             `json:"boxes"`
	Members []Member          `json:"members"`
	Senders []Sender          `json:"senders"`
	Writers map[string]writer `json:"writers"`
	// Released is the newest released entry of each node.
	Released map[string]int `json:"released"`
}

// Snapshot returns the state's snapshot. Equal states have equal snapshots.
func (s State) Snapshot() (Snapshot, error) {
	table, err := s.table.MarshalJSON()
	if err != nil {
		return Snapshot{}, fmt.Errorf("write table: %w", err)
	}
	writers := map[string]writer{}
	for entries := s.writers.Iterator(); !entries.Done(); {
		node, last, _ := entries.Next()
		writers[node] = last
	}
	released := map[string]int{}
	for entries := s.released.Iterator(); !entries.Done(); {
		node, entry, _ := entries.Next()
		released[node] = entry
	}
	text, err := json.Marshal(image{
		At: s.at, Table: table, Boxes: s.Boxes(), Members: s.Members(), Senders: s.Senders(), Writers: writers, Released: released,
	})
	if err != nil {
		return Snapshot{}, fmt.Errorf("write state: %w", err)
	}
	return Snapshot{Offset: s.offset, Hash: digest(text), State: text}, nil
}

func digest(text []byte) string {
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}

// Restore returns the state that a snapshot holds. The receiver gives the
// empty table to start from.
func (s State) Restore(snapshot Snapshot) (State, error) {
	if digest(snapshot.State) != snapshot.Hash {
		return s, fmt.Errorf("snapshot at %d: its hash is not that of its state", snapshot.Offset)
	}
	var from image
	if err := json.Unmarshal(snapshot.State, &from); err != nil {
		return s, fmt.Errorf("snapshot at %d: %w", snapshot.Offset, err)
	}
	table, err := s.table.Restore(from.Table)
	if err != nil {
		return s, fmt.Errorf("table of snapshot at %d: %w", snapshot.Offset, err)
	}
	next := New(table)
	next.offset, next.at = snapshot.Offset, from.At
	for _, member := range from.Members {
		next.members = next.members.Set(member.Node, member)
	}
	for _, sender := range from.Senders {
		sender.Boxes = 0
		next.senders = next.senders.Set(sender.Key.String(), sender)
	}
	for node, last := range from.Writers {
		next.writers = next.writers.Set(node, last)
	}
	for node, entry := range from.Released {
		next.released = next.released.Set(node, entry)
	}
	next.boxes, next.pools = immutable.NewSortedMap[string, *Box](nil), immutable.NewSortedMap[string, Pool](nil)
	for _, box := range from.Boxes {
		next = next.withBox(box)
	}
	return next, nil
}
