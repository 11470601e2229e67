package boxplan

import (
	"fmt"
	"strings"
	"time"

	"damsonwinch"
)

// unusableKind is why a box that boxCount counts for a cell can't be used by the cell's owner.
type unusableKind int

const (
	unusableToBeEmptied unusableKind = iota
	unusableOrdered
	unusableAccepted
	unusableMaintained
	unusableJoining
	unusableOther
	unusableKinds
)

// unusableKindNames describes the kinds in the log.
var unusableKindNames = [unusableKinds]string{
	unusableToBeEmptied: "to be emptied elsewhere", unusableOrdered: "ordered and not accepted", unusableAccepted: "ordered and accepted",
	unusableMaintained: "in maintenance", unusableJoining: "joining", unusableOther: "not usable by the report",
}

// unusableBoxes are the boxes of one kind.
type unusableBoxes struct {
	count int
	// longest is how long the oldest of them has been of that kind; zero if that isn't known.
	longest time.Duration
}

// add counts a box that has been of the kind since a time, which is zero if it isn't known.
func (u *unusableBoxes) add(since, now time.Time) {
	u.count++
	if !since.IsZero() {
		u.longest = max(u.longest, now.Sub(since))
	}
}

// longRunningState is what a cell needs and has for its long-running tasks.
type longRunningState struct {
	required, usable int
	// missing is the number of missing boxes that the cell's owner has reported, in a report of reportAge.
	missing   int
	reportAge time.Duration
	// unservedFor is for how long the owner has been able to use too few boxes.
	unservedFor time.Duration
	// unusable are the boxes that count for the cell and that its owner can't use, by kind.
	unusable [unusableKinds]unusableBoxes
}

// updateUnservedSince updates unservedSince.
func (c *cell) updateUnservedSince(now time.Time) {
	switch {
	case c.poweredOff || c.requiredLongRunning <= c.usableBoxes():
		c.unservedSince = time.Time{}
	case c.unservedSince.IsZero():
		c.unservedSince = now
	}
}

// longRunningState returns what a cell needs and has for its long-running tasks.
func (p *Planner) longRunningState(c *cell) longRunningState {
	state := longRunningState{
		required: c.requiredLongRunning, usable: c.usableBoxes(), missing: c.report.MissingBoxes,
		reportAge: max(0, p.now.Sub(c.reportedAt)), unservedFor: p.now.Sub(c.unservedSince),
	}
	for _, b := range p.boxesByName {
		if p.servedCell(b) != c.name || p.isUsed(b) {
			continue
		}
		kind, since := p.unusableKind(b)
		state.unusable[kind].add(since, p.now)
	}
	return state
}

// isUsed reports whether a box is usable by the report of its present cell and isn't to leave it.
func (p *Planner) isUsed(b *box) bool {
	return b.issued == nil && b.planned == nil && b.report != nil && b.report.Usable
}

// unusableKind returns why a box that counts for a cell can't be used there yet, and since when; zero if that
// isn't known.
func (p *Planner) unusableKind(b *box) (unusableKind, time.Time) {
	switch {
	case b.issued != nil && b.issued.Pool == "":
		return unusableMaintained, b.issued.updatedAt
	case b.issued != nil && b.issued.accepted:
		return unusableAccepted, b.issued.updatedAt
	case b.issued != nil:
		return unusableOrdered, b.issued.updatedAt
	case b.planned != nil:
		return unusableToBeEmptied, b.planned.since
	case b.info.State == damsonwinch.BoxMaintenance:
		return unusableMaintained, b.upSince
	case p.now.Sub(b.upSince) < joinTimeout:
		return unusableJoining, b.upSince
	}
	return unusableOther, time.Time{}
}

// describe describes the state of the named cell for the log and for operators.
func (s longRunningState) describe(cellName string) string {
	line := fmt.Sprintf("cell %s needs %d boxes for long-running tasks and can use %d, for %d ms; its owner has reported %d missing, %d ms ago",
		cellName, s.required, s.usable, s.unservedFor.Milliseconds(), s.missing, s.reportAge.Milliseconds())
	var parts []string
	for kind, boxes := range s.unusable {
		if boxes.count == 0 {
			continue
		}
		part := fmt.Sprintf("%d %s", boxes.count, unusableKindNames[kind])
		if boxes.longest > 0 {
			part += fmt.Sprintf(" (for up to %d ms)", boxes.longest.Milliseconds())
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return line + "; no other box counts for it"
	}
	return line + "; other boxes that count for it: " + strings.Join(parts, ", ")
}
