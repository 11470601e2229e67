// Package audit keeps the trail of accepted and refused changes that a process
// has folded, bounded in length. The log itself is the whole trail.
package audit

import (
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// Trail is the newest audit lines.
type Trail struct {
	lines []wire.AuditLine
	most  int
}

// New returns a trail that keeps a number of lines.
func New(most int) *Trail {
	return &Trail{most: most}
}

// Add notes the verdicts of one record. Accepted renewals and
// checkpoints are left out: they change nothing that an operator asks about.
func (t *Trail) Add(record wire.Entry, verdicts []fold.Result) {
	for i, verdict := range verdicts {
		if kind := verdict.Proposal.Kind; verdict.Accepted && (kind == wire.KindRenew || kind == wire.KindCheckpoint) {
			continue
		}
		t.lines = append(t.lines, line(record, i, verdict))
	}
	if over := len(t.lines) - t.most; over > t.most/4 {
		t.lines = append([]wire.AuditLine{}, t.lines[over:]...)
	}
}

func line(record wire.Entry, index int, verdict fold.Result) wire.AuditLine {
	return wire.AuditLine{
		Offset:   record.Offset,
		Index:    index,
		At:       record.At,
		Id:       verdict.Proposal.Id,
		Kind:     string(verdict.Proposal.Kind),
		Author:   verdict.Author,
		Subject:  verdict.Subject,
		Accepted: verdict.Accepted,
		Reason:   verdict.Reason,
		Cause:    verdict.Proposal.Cause,
	}
}

// From returns the lines at and after an offset.
func (t *Trail) From(offset int) []wire.AuditLine {
	for i, line := range t.lines {
		if line.Offset >= offset {
			return append([]wire.AuditLine{}, t.lines[i:]...)
		}
	}
	return nil
}
