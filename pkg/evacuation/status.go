package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"damsonwinch/pkg/wire"
)

// Status is the state of an evacuated zone.
type Status struct {
	Zone string
	// At is the time of the state, and Since since when this node has known of the evacuation.
	At    time.Time
	Since time.Time
	// InEffectSince is since when the owners of all cells have confirmed the evacuation; zero if some
	// have not.
	InEffectSince time.Time
	// ClearSince is since when the zone has been clear, so that it may be switched off; zero if it isn't.
	ClearSince time.Time
	// Pools are the pools that have boxes or endpoints in the zone, in order of their names.
	Pools []PoolStatus
	// Unconfirmed are the cells whose owners have not confirmed the evacuation.
	Unconfirmed []string
	// OldestConfirmation is the age of the oldest of the owners' confirmations, OldestCell its cell.
	OldestConfirmation time.Duration
	OldestCell         string
	// Delays say what keeps the zone from being clear.
	Delays []string
	// blocking are the cells of Unconfirmed that have endpoints in the zone. unreported are the cells with
	// endpoints in the zone whose owners have confirmed the evacuation, but have not reported lately.
	blocking   []string
	unreported []string
}

// PoolStatus is what still runs in a zone on the endpoints of a pool.
type PoolStatus struct {
	Pool string
	// Boxes is the number of boxes in the zone that are not powered off.
	Boxes int
	// Endpoints is the number of endpoints, UnknownEndpoints the number of those on which runs may exist
	// that nobody sees.
	Endpoints        int
	UnknownEndpoints int
	// ShortRuns counts the runs of short tasks without checkpoints, and CheckpointRuns those with
	// checkpoints. StrayRuns are runs that the cells' owners don't know.
	ShortRuns       int
	CheckpointRuns  int
	LongRunningRuns int
	StrayRuns       int
	// EmptyIn is the estimated time until the short tasks have ended.
	EmptyIn time.Duration
}

// Clear reports whether nothing runs in the zone and nothing will start there until the evacuation ends.
func (s Status) Clear() bool {
	return !s.ClearSince.IsZero()
}

// Runs returns the number of runs that are known to exist in the zone.
func (s Status) Runs() int {
	count := 0
	for _, p := range s.Pools {
		count += p.runs()
	}
	return count
}

// UnknownEndpoints returns the number of endpoints in the zone on which runs may exist that nobody sees.
func (s Status) UnknownEndpoints() int {
	count := 0
	for _, p := range s.Pools {
		count += p.UnknownEndpoints
	}
	return count
}

// Boxes returns the number of boxes in the zone that are not powered off.
func (s Status) Boxes() int {
	count := 0
	for _, p := range s.Pools {
		count += p.Boxes
	}
	return count
}

// Explain returns sentences for operators: whether the zone may be switched off, what delays that, and what
// still runs there by pool.
func (s Status) Explain() []string {
	lines := []string{fmt.Sprintf("zone %s has been evacuated for %d ms; %s; %s", s.Zone, s.At.Sub(s.Since).Milliseconds(), s.explainEffect(), s.explainClear())}
	lines = append(lines, s.Delays...)
	for _, p := range s.Pools {
		lines = append(lines, p.String())
	}
	return lines
}

// explainEffect says since when the evacuation has been in effect, or who has not confirmed it.
func (s Status) explainEffect() string {
	if s.InEffectSince.IsZero() {
		return "not confirmed for " + listNames(s.Unconfirmed)
	}
	return fmt.Sprintf("in effect on all nodes for %d ms, the oldest confirmation is %d ms old (%s)", s.At.Sub(s.InEffectSince).Milliseconds(), s.OldestConfirmation.Milliseconds(), s.OldestCell)
}

// explainClear says whether the zone may be switched off.
func (s Status) explainClear() string {
	if s.Clear() {
		return fmt.Sprintf("clear for %d ms: it may be switched off", s.At.Sub(s.ClearSince).Milliseconds())
	}
	return "not clear: it must not be switched off"
}

// findDelays sets Delays. inputsKnown says whether the cells and boxes are known, bound is the longest time
// for which an owner that doesn't know of the evacuation may start tasks in the zone.
func (s *Status) findDelays(inputsKnown bool, bound time.Duration) {
	add := func(format string, args ...any) { s.Delays = append(s.Delays, fmt.Sprintf(format, args...)) }
	if !inputsKnown {
		add("the cells or the list of boxes are not known yet")
	}
	if s.At.Sub(s.Since) < bound {
		add("an owner that takes a cell over may not know of the evacuation until %d ms after it", bound.Milliseconds())
	}
	if len(s.blocking) > 0 {
		add("owners of cells with boxes there have not confirmed the evacuation: %s", listNames(s.blocking))
	}
	if len(s.unreported) > 0 {
		add("owners of cells with boxes there have not reported for %d ms: %s", reportLifetime.Milliseconds(), listNames(s.unreported))
	}
	for _, p := range s.Pools {
		if runs := p.runs(); runs > 0 {
			add("pool %s: %d runs have not ended", p.Pool, runs)
		}
		if p.UnknownEndpoints > 0 {
			add("pool %s: %d endpoints have not answered, and leases there may be in force", p.Pool, p.UnknownEndpoints)
		}
	}
}

// addConfirmation notes that the owner of a cell has confirmed the evacuation, and how long ago.
func (s *Status) addConfirmation(cell string, age time.Duration) {
	if s.OldestCell == "" || age > s.OldestConfirmation {
		s.OldestCell, s.OldestConfirmation = cell, age
	}
}

// differsFrom reports whether two states differ in more than the times that pass.
func (s Status) differsFrom(other Status) bool {
	samePools := slices.EqualFunc(s.Pools, other.Pools, func(a, b PoolStatus) bool {
		a.EmptyIn, b.EmptyIn = 0, 0
		return a == b
	})
	return !samePools || !s.InEffectSince.Equal(other.InEffectSince) || !s.ClearSince.Equal(other.ClearSince) ||
		!slices.Equal(s.Unconfirmed, other.Unconfirmed) || !slices.Equal(s.Delays, other.Delays)
}

// add adds what the owner of a cell has reported.
func (p *PoolStatus) add(row wire.ZoneReport) {
	p.Endpoints += row.Endpoints
	p.UnknownEndpoints += row.UnknownEndpoints
	p.ShortRuns += row.ShortRuns
	p.CheckpointRuns += row.CheckpointRuns
	p.LongRunningRuns += row.LastingRuns
	p.StrayRuns += row.StrayRuns
	p.EmptyIn = max(p.EmptyIn, time.Duration(row.EmptyMs)*time.Millisecond)
}

// runs returns the number of runs that are known to exist.
func (p PoolStatus) runs() int {
	return p.ShortRuns + p.CheckpointRuns + p.LongRunningRuns + p.StrayRuns
}

// String describes what still runs on the endpoints of the pool.
func (p PoolStatus) String() string {
	return fmt.Sprintf("%s: %d boxes powered on, %d endpoints of which %d are unknown; %d short runs (%d with checkpoints, the last ends in %d ms), %d long-running, %d stray",
		p.Pool, p.Boxes, p.Endpoints, p.UnknownEndpoints, p.ShortRuns+p.CheckpointRuns, p.CheckpointRuns, p.EmptyIn.Milliseconds(), p.LongRunningRuns, p.StrayRuns)
}

// maxListedNames is how many names a text lists. A large fleet has hundreds of cells.
const maxListedNames = 8

// listNames joins names, of which it leaves out those beyond maxListedNames.
func listNames(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}
