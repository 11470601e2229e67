// Package audit keeps the newest of the changes that a process has read from the platform's log, accepted
// and refused ones. The log itself is the complete audit trail.
package audit

import (
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// Trail holds the newest audit lines.
type Trail struct {
	lines    []wire.AuditLine
	maxLines int
}

// New returns a trail that keeps the newest maxLines lines, and at times up to a quarter more.
func New(maxLines int) *Trail {
	return &Trail{maxLines: maxLines}
}

// Add adds a line for each result of a record. It leaves out accepted renewals and checkpoints, which
// change nothing that an operator asks about.
func (t *Trail) Add(record wire.Entry, results []fleetstate.Result) {
	for i, result := range results {
		if kind := result.Proposal.Kind; result.Accepted && (kind == wire.KindRenew || kind == wire.KindCheckpoint) {
			continue
		}
		t.lines = append(t.lines, line(record, i, result))
	}
	if surplus := len(t.lines) - t.maxLines; surplus > t.maxLines/4 {
		t.lines = append([]wire.AuditLine{}, t.lines[surplus:]...)
	}
}

// line returns the audit line of a result, which is that of the record's proposal at index.
func line(record wire.Entry, index int, result fleetstate.Result) wire.AuditLine {
	return wire.AuditLine{
		Offset:   record.Offset,
		Index:    index,
		At:       record.At,
		Id:       result.Proposal.Id,
		Kind:     string(result.Proposal.Kind),
		Author:   result.Author,
		Subject:  result.Subject,
		Accepted: result.Accepted,
		Reason:   result.Reason,
		Cause:    result.Proposal.Cause,
	}
}

// From returns the lines of records at an offset and after it.
func (t *Trail) From(offset int) []wire.AuditLine {
	for i, line := range t.lines {
		if line.Offset >= offset {
			return append([]wire.AuditLine{}, t.lines[i:]...)
		}
	}
	return nil
}
