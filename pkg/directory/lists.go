// Package directory lets the owners of cells read the lists of their cells' endpoints from a few other nodes,
// which read all registrations from the store. If each owner read them itself, the store would send all
// registrations of the fleet once for each cell: the bytes would grow with the square of the fleet.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// maxRemovals is the number of removed endpoints that a list keeps, so that nodes with an older version
// of it can be told of them. A node with a still older version gets the complete list.
const maxRemovals = 64

// Lists holds the lists of the endpoints of all cells, and the version with which each entry came. All methods
// may be called by several goroutines.
type Lists struct {
	clock damsonwinch.Clock
	// source is the number of this run of the node. Versions of different runs aren't comparable.
	source int

	mutex sync.Mutex
	// version counts the publications.
	version int
	byCell  map[string]*list
	// end is the offset of the first registration that the lists don't follow. confirmedAt is when the ones
	// before it were requested, or zero if nothing has been published.
	end         int
	confirmedAt time.Time
}

// list is the list of a cell's endpoints.
type list struct {
	// version is that of the last change.
	version int
	// entries holds the endpoints, and removals the versions in which others were removed, by ID.
	entries  map[string]entry
	removals map[string]int
	// completeBefore is the version before which removals are not known any more.
	completeBefore int
}

// entry is an endpoint and the version in which it changed last.
type entry struct {
	endpoint damsonwinch.Endpoint
	version  int
}

// NewLists returns lists in which nothing has been published. source is a number that no other run of the node
// has; it isn't 0.
func NewLists(clock damsonwinch.Clock, source int) *Lists {
	return &Lists{clock: clock, source: source, byCell: map[string]*list{}}
}

// Publish replaces the lists of all cells. They follow the registrations before the offset end, which were
// requested at confirmedAt.
func (l *Lists) Publish(endpoints map[string][]damsonwinch.Endpoint, end int, confirmedAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.version++
	l.end, l.confirmedAt = end, confirmedAt
	for cell, listed := range endpoints {
		current := l.byCell[cell]
		if current == nil {
			current = &list{version: l.version, entries: map[string]entry{}, removals: map[string]int{}, completeBefore: l.version}
			l.byCell[cell] = current
		}
		current.update(listed, l.version)
	}
	for cell := range l.byCell {
		if _, listed := endpoints[cell]; !listed {
			delete(l.byCell, cell)
		}
	}
}

// Confirm notes that registrations before the offset end, requested at confirmedAt, have changed nothing.
func (l *Lists) Confirm(end int, confirmedAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.confirmedAt.IsZero() {
		l.end, l.confirmedAt = end, confirmedAt
	}
}

// Known reports whether lists have been published and not withdrawn since.
func (l *Lists) Known() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.confirmedAt.IsZero()
}

// Withdraw makes the lists unknown to other nodes until the next publication.
func (l *Lists) Withdraw() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.confirmedAt = time.Time{}
	clear(l.byCell)
}

// Reply returns what has changed in the lists of some cells since the versions that the calling node has.
func (l *Lists) Reply(args wire.DirectoryArgs) wire.DirectoryReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.confirmedAt.IsZero() {
		return wire.DirectoryReply{}
	}
	reply := wire.DirectoryReply{Known: true, Source: l.source, End: l.end, AgeMs: int(l.clock.Since(l.confirmedAt).Milliseconds())}
	for _, known := range args.Cells {
		current := l.byCell[known.Cell]
		if current == nil || known.Source == l.source && known.Version == current.version {
			continue
		}
		reply.Cells = append(reply.Cells, current.changes(known, known.Source != l.source))
	}
	return reply
}

// update makes the list hold the given endpoints. All that differs gets the given version.
func (l *list) update(listed []damsonwinch.Endpoint, version int) {
	present := make(map[string]bool, len(listed))
	for _, endpoint := range listed {
		id := endpoint.Life.ID
		present[id] = true
		if before, existed := l.entries[id]; existed && !before.endpoint.Differs(endpoint) {
			continue
		}
		l.entries[id] = entry{endpoint: endpoint, version: version}
		delete(l.removals, id)
		l.version = version
	}
	for id := range l.entries {
		if !present[id] {
			delete(l.entries, id)
			l.removals[id] = version
			l.version = version
		}
	}
	if len(l.removals) > maxRemovals {
		clear(l.removals)
		l.completeBefore = version
	}
}

// changes returns what has changed since a version of the list, or the complete list if that is required or the
// removals since then are not known any more.
func (l *list) changes(known wire.KnownCell, complete bool) wire.CellChanges {
	changes := wire.CellChanges{Cell: known.Cell, Version: l.version, Complete: complete || known.Version < l.completeBefore}
	for _, current := range l.entries {
		if changes.Complete || current.version > known.Version {
			changes.Endpoints = append(changes.Endpoints, listedEndpoint(current.endpoint))
		}
	}
	for id, version := range l.removals {
		if !changes.Complete && version > known.Version {
			changes.Removed = append(changes.Removed, id)
		}
	}
	slices.SortFunc(changes.Endpoints, func(a, b wire.ListedEndpoint) int { return cmp.Compare(a.Id, b.Id) })
	slices.Sort(changes.Removed)
	return changes
}
