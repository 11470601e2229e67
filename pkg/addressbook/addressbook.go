// Package addressbook keeps what a cell knows of the addresses at which clients submit its jobs.
//
// A client knows a job by its address, which is the host and the path prefix of a queue, and its ID. Configurations may
// lead an address to one pool after another, under any names of queues, while nodes start and stop. So that a job that is
// sent again is found wherever it was accepted, a cell opens an address before it accepts the first job of it: the cells of
// all other pools that would have had the job are asked, and each records that it accepts no more jobs of the address by
// older configurations. Those that still hold jobs of the address are asked again before each submission, until they hold
// none.
//
// The package makes no calls and has no clock. The book is part of the cell's records, so that it outlives its owner.
package addressbook

import (
	"maps"
	"slices"
	"time"
)

// Entry is what is known of one address.
type Entry struct {
	// OpenedBy is the version of the configuration by which the address was opened, or 0.
	OpenedBy int
	// ClosedBelow is the version of the configuration by which another pool has opened the address, or 0. Jobs are
	// accepted by no older one.
	ClosedBelow int
	// Former are the other pools that hold jobs of the address.
	Former []string
}

// IsOpen reports whether the address has been opened and no other pool has opened it since.
func (e Entry) IsOpen() bool {
	return e.OpenedBy > 0 && e.OpenedBy >= e.ClosedBelow
}

// WithClosedBelow returns the entry closed for configurations that are older than a version.
func (e Entry) WithClosedBelow(version int) Entry {
	e.ClosedBelow = max(e.ClosedBelow, version)
	return e
}

// WithOpened returns the entry opened by a version of the configuration, while other pools hold jobs.
func (e Entry) WithOpened(version int, former []string) Entry {
	e.OpenedBy, e.Former = version, slices.Sorted(slices.Values(former))
	return e
}

// Submission is a job that a client submits at an address, by a version of the configuration.
type Submission struct {
	Address string
	Version int
	// Asked are the other pools that have answered that they don't have the job and have closed the address, and Holding
	// are those of them that hold other jobs of the address. AskedAll says that they are all other pools.
	Asked    []string
	AskedAll bool
	Holding  []string
}

// Verdict says what becomes of a submission.
type Verdict int

const (
	// Accept means that no other pool has the job or can accept it.
	Accept Verdict = iota
	// Refuse means that the configuration of the submission is too old.
	Refuse
	// AskAll means that all other pools must be asked for the job first.
	AskAll
	// AskFormer means that the former pools of the address must be asked for the job first.
	AskFormer
)

// Book holds the entries of a cell.
type Book struct {
	entries map[string]Entry
	// changed holds the addresses whose records are out of date.
	changed map[string]bool
	// usedAt is when an entry was last needed.
	usedAt map[string]time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{entries: map[string]Entry{}, changed: map[string]bool{}, usedAt: map[string]time.Time{}}
}

// Load restores an entry from its record.
func (b *Book) Load(now time.Time, address string, entry Entry) {
	b.entries[address], b.usedAt[address] = entry, now
}

// Entry returns the entry of an address.
func (b *Book) Entry(address string) Entry {
	return b.entries[address]
}

// Submit decides on a submission. It opens the address if all other pools have been asked.
func (b *Book) Submit(now time.Time, s Submission) Verdict {
	entry := b.entries[s.Address]
	b.usedAt[s.Address] = now
	if s.Version < entry.ClosedBelow {
		return Refuse
	}
	if !entry.IsOpen() {
		if !s.AskedAll {
			return AskAll
		}
		b.put(s.Address, entry.WithOpened(s.Version, s.Holding))
		return Accept
	}
	for _, pool := range entry.Former {
		if !slices.Contains(s.Asked, pool) {
			return AskFormer
		}
	}
	b.dropFormer(s, entry)
	return Accept
}

// dropFormer removes the former pools that hold no jobs of the address any more. They can't get others: each has recorded
// that it accepts none by the configuration that has opened the address here or an older one.
func (b *Book) dropFormer(s Submission, entry Entry) {
	holding := slices.DeleteFunc(slices.Clone(entry.Former), func(pool string) bool { return !slices.Contains(s.Holding, pool) })
	if len(holding) < len(entry.Former) {
		b.put(s.Address, entry.WithOpened(entry.OpenedBy, holding))
	}
}

// Close closes an address, because another pool opens it by a version of the configuration. It returns false if the
// address has been opened by a newer version, here or in a third pool.
func (b *Book) Close(now time.Time, address string, version int) bool {
	entry := b.entries[address]
	b.usedAt[address] = now
	if version < max(entry.OpenedBy, entry.ClosedBelow) {
		return false
	}
	if entry.ClosedBelow < version {
		b.put(address, entry.WithClosedBelow(version))
	}
	return true
}

// IsSettled reports whether no other pool holds jobs of the address: it is open here, and there is no former pool.
func (b *Book) IsSettled(address string) bool {
	entry := b.entries[address]
	return entry.IsOpen() && len(entry.Former) == 0
}

// Forget removes the entries that were last needed before a time, except those of addresses with jobs. An address that is
// used again is opened again.
func (b *Book) Forget(before time.Time, hasJobs func(address string) bool) {
	for address, usedAt := range b.usedAt {
		if usedAt.Before(before) && !hasJobs(address) {
			delete(b.usedAt, address)
			delete(b.entries, address)
			b.changed[address] = true
		}
	}
}

// TakeChanged returns the addresses whose entries have changed since the last call, in order.
func (b *Book) TakeChanged() []string {
	changed := slices.Sorted(maps.Keys(b.changed))
	clear(b.changed)
	return changed
}

// HasChanged reports whether TakeChanged would return any address.
func (b *Book) HasChanged() bool {
	return len(b.changed) > 0
}

// Addresses returns the addresses that have entries, in order.
func (b *Book) Addresses() []string {
	return slices.Sorted(maps.Keys(b.entries))
}

// put replaces an entry.
func (b *Book) put(address string, entry Entry) {
	b.entries[address] = entry
	b.changed[address] = true
}
