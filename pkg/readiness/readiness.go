// Package readiness tracks what a node waits for before it serves clients, and says when that has to be reported. It
// does no I/O and reads no clock.
package readiness

import (
	"slices"
	"strings"
	"time"
)

// Condition is something that a node needs before it serves clients.
type Condition string

// The conditions, in the order in which a starting node meets them.
const (
	Configuration Condition = "configuration"
	Members       Condition = "members"
	BoxCount      Condition = "box_count"
	Layout        Condition = "layout"
	Claims        Condition = "claims"
)

// Conditions returns all conditions.
func Conditions() []Condition {
	return []Condition{Configuration, Members, BoxCount, Layout, Claims}
}

// Times of reports while a node waits.
const (
	firstReportDelay = 2 * time.Second
	reportInterval   = 5 * time.Second
)

// Missing is a condition that isn't met, and why.
type Missing struct {
	Condition Condition
	Reason    string
}

// Tracker holds what a node waits for and when it was last reported. The zero value is that of a node that waits for
// nothing.
type Tracker struct {
	missing    []Missing
	since      time.Time
	reportedAt time.Time
}

// Update replaces what the node waits for, as of a time, and reports whether that is to be logged: after waiting for 2
// s, every 5 s from then on, and once when a wait that was logged has ended.
func (t *Tracker) Update(missing []Missing, now time.Time) bool {
	if len(t.missing) == 0 && len(missing) > 0 {
		t.since, t.reportedAt = now, time.Time{}
	}
	ended := len(t.missing) > 0 && len(missing) == 0
	t.missing = slices.Clone(missing)
	switch {
	case ended:
		return !t.reportedAt.IsZero()
	case len(missing) == 0:
		return false
	case t.reportedAt.IsZero() && now.Sub(t.since) < firstReportDelay, now.Sub(t.reportedAt) < reportInterval:
		return false
	}
	t.reportedAt = now
	return true
}

// Waiting reports whether the node waits for anything.
func (t *Tracker) Waiting() bool { return len(t.missing) > 0 }

// WaitsFor reports whether the node waits for a condition.
func (t *Tracker) WaitsFor(condition Condition) bool {
	return slices.ContainsFunc(t.missing, func(m Missing) bool { return m.Condition == condition })
}

// Since returns when the present or the last wait began.
func (t *Tracker) Since() time.Time { return t.since }

// Reason returns what the node waits for, or an empty string if it waits for nothing.
func (t *Tracker) Reason() string {
	var parts []string
	for _, m := range t.missing {
		parts = append(parts, string(m.Condition)+": "+m.Reason)
	}
	return strings.Join(parts, "; ")
}
