package fleetstate

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// Snapshot is a State in the form that is stored in the log.
type Snapshot struct {
	// Offset is the offset of the next record to apply to the state.
	Offset int `json:"offset"`
	// Hash is the 64-bit xxHash of State, in hexadecimal.
	Hash  string          `json:"hash"`
	State json.RawMessage `json:"state"`
}

// snapshotState is the JSON form of Snapshot.State. It leaves out what Restore
// computes from the boxes.
type snapshotState struct {
	LogTimeMs   int                  `json:"at"`
	Table       json.RawMessage      `json:"table"`
	Boxes       []Box                `json:"boxes"`
	Members     []Member             `json:"members"`
	Senders     []Sender             `json:"senders"`
	LastBatches map[string]lastBatch `json:"writers"`
	// Released is the newest released entry incarnation of each node.
	Released map[string]int `json:"released"`
}

// Snapshot returns a snapshot of the state. Equal states have equal snapshots.
func (s State) Snapshot() (Snapshot, error) {
	tableText, err := s.table.MarshalJSON()
	if err != nil {
		return Snapshot{}, fmt.Errorf("write table: %w", err)
	}
	lastBatches := map[string]lastBatch{}
	for it := s.lastBatches.Iterator(); !it.Done(); {
		node, last, _ := it.Next()
		lastBatches[node] = last
	}
	released := map[string]int{}
	for it := s.released.Iterator(); !it.Done(); {
		node, incarnation, _ := it.Next()
		released[node] = incarnation
	}
	text, err := json.Marshal(snapshotState{
		LogTimeMs: s.logTimeMs, Table: tableText, Boxes: s.Boxes(), Members: s.Members(), Senders: s.Senders(), LastBatches: lastBatches, Released: released,
	})
	if err != nil {
		return Snapshot{}, fmt.Errorf("write state: %w", err)
	}
	return Snapshot{Offset: s.offset, Hash: hashOf(text), State: text}, nil
}

// hashOf returns the hash of a snapshot's state in the form of Snapshot.Hash.
func hashOf(text []byte) string {
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}

// Restore returns the state that a snapshot holds, or an error if the snapshot's
// hash doesn't match its state or the state can't be decoded. It uses nothing of
// the receiver but the table's schema checker.
func (s State) Restore(snapshot Snapshot) (State, error) {
	if hashOf(snapshot.State) != snapshot.Hash {
		return s, fmt.Errorf("snapshot at %d: its hash is not that of its state", snapshot.Offset)
	}
	var stored snapshotState
	if err := json.Unmarshal(snapshot.State, &stored); err != nil {
		return s, fmt.Errorf("snapshot at %d: %w", snapshot.Offset, err)
	}
	restoredTable, err := s.table.Restore(stored.Table)
	if err != nil {
		return s, fmt.Errorf("table of snapshot at %d: %w", snapshot.Offset, err)
	}
	next := New(restoredTable)
	next.offset, next.logTimeMs = snapshot.Offset, stored.LogTimeMs
	for _, member := range stored.Members {
		next.members = next.members.Set(member.Node, member)
	}
	for _, sender := range stored.Senders {
		sender.Boxes = 0
		next.senders = next.senders.Set(sender.Key.String(), sender)
	}
	for node, last := range stored.LastBatches {
		next.lastBatches = next.lastBatches.Set(node, last)
	}
	for node, incarnation := range stored.Released {
		next.released = next.released.Set(node, incarnation)
	}
	next.boxes, next.pools = immutable.NewSortedMap[string, *Box](nil), immutable.NewSortedMap[string, Pool](nil)
	for _, box := range stored.Boxes {
		next = next.withBox(box)
	}
	return next, nil
}
