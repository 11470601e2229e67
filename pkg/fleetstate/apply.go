package fleetstate

import (
	"encoding/json"
	"fmt"
	"strings"

	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

// Result is the outcome of one proposal: whether it was accepted, and why.
type Result struct {
	Proposal wire.Proposal
	// Subject names the boxes, the node or the table rows that the proposal is
	// about, separated by spaces.
	Subject  string
	Accepted bool
	// Reason says why the proposal was refused or, if it was accepted, what it
	// changed.
	Reason string
	// Author is the proposal's author or, if it names none, the node that wrote
	// the batch.
	Author string
}

// refusal is the error for a proposal or a batch that is refused; its text is
// the reason.
type refusal string

// Error returns the reason.
func (r refusal) Error() string {
	return string(r)
}

// refuse returns a refusal with a formatted reason.
func refuse(format string, values ...any) error {
	return refusal(fmt.Sprintf(format, values...))
}

// origin describes the log record that contains a proposal.
type origin struct {
	offset    int
	logTimeMs int // Log time of the record, in milliseconds since 1970.
	batch     wire.Batch
}

// Apply returns the state after a log record, with one result for each of the
// record's proposals. A record that can't be decoded, or whose batch is a
// duplicate, has a single refused result and changes only the state's offset
// and log time. This is deterministic, so that all processes skip the same
// records.
func (s State) Apply(record wire.Entry) (State, []Result) {
	s.offset = record.Offset + 1
	s.logTimeMs = max(s.logTimeMs, record.At)
	var batch wire.Batch
	if err := json.Unmarshal([]byte(record.Data), &batch); err != nil {
		return s, []Result{{Subject: "record", Reason: fmt.Sprintf("not readable: %v", err)}}
	}
	if err := s.checkDuplicate(batch); err != nil {
		return s, []Result{{Subject: batch.Node, Reason: err.Error(), Author: batch.Node}}
	}
	s = s.withLastBatch(batch)
	from := origin{offset: record.Offset, logTimeMs: s.logTimeMs, batch: batch}
	results := make([]Result, 0, len(batch.Proposals))
	for _, proposal := range batch.Proposals {
		next, effect, err := s.applyProposal(proposal, from)
		result := Result{Proposal: proposal, Subject: subjectOf(proposal), Accepted: err == nil, Reason: effect, Author: authorOf(proposal, batch)}
		if err != nil {
			result.Reason = err.Error()
		} else {
			s = next
		}
		results = append(results, result)
	}
	return s, results
}

// checkDuplicate refuses a batch that reached the log twice, or after a later
// batch of the same keeper incarnation. The keeper decided on that later batch
// after it had read the log without this one.
func (s State) checkDuplicate(batch wire.Batch) error {
	last, known := s.lastBatches.Get(batch.Node)
	if batch.Incarnation == 0 || !known || last.Incarnation != batch.Incarnation {
		return nil
	}
	if batch.Number <= last.Number {
		return refuse("batch %d of %s landed again or late; %d is folded already", batch.Number, batch.Node, last.Number)
	}
	return nil
}

// LastBatchNumber returns the number of the newest applied batch of a keeper
// incarnation, or 0 if there is none.
func (s State) LastBatchNumber(incarnation int) int {
	for it := s.lastBatches.Iterator(); !it.Done(); {
		if _, last, _ := it.Next(); last.Incarnation == incarnation {
			return last.Number
		}
	}
	return 0
}

// withLastBatch records the batch as the newest of its keeper. Batches of the
// command line have incarnation 0 and are not recorded.
func (s State) withLastBatch(batch wire.Batch) State {
	if batch.Incarnation != 0 {
		s.lastBatches = s.lastBatches.Set(batch.Node, lastBatch{Incarnation: batch.Incarnation, Number: batch.Number})
	}
	return s
}

// applyProposal returns the state after one proposal and a description of what
// the proposal changed, or an error that says why it is refused. The function for
// each kind of proposal returns the same.
func (s State) applyProposal(proposal wire.Proposal, from origin) (State, string, error) {
	switch proposal.Kind {
	case wire.KindEdit:
		return s.applyEdit(proposal, from)
	case wire.KindEnroll:
		return s.applyEnroll(proposal, from)
	case wire.KindRenew:
		return s.applyRenew(proposal, from)
	case wire.KindRelease:
		return s.applyRelease(proposal, from)
	case wire.KindCheckpoint:
		return s, "checkpoint", nil
	}
	if proposal.Change == nil {
		return s, "", refuse("a %q proposal needs a change", proposal.Kind)
	}
	return s.applyBoxChange(proposal, from)
}

// applyBoxChange applies a proposal about a single box. The proposal is refused
// if the box is not at the epoch on which the proposal was decided.
func (s State) applyBoxChange(proposal wire.Proposal, from origin) (State, string, error) {
	change := *proposal.Change
	box, known := s.Box(change.Box)
	if !known {
		return s, "", refuse("box %s is not enrolled", change.Box)
	}
	if box.Epoch != change.Epoch {
		return s, "", refuse("box %s is at epoch %d, the proposal was decided on %d", change.Box, box.Epoch, change.Epoch)
	}
	switch proposal.Kind {
	case wire.KindAssign:
		return s.applyAssign(box, change, from)
	case wire.KindHandover:
		return s.applyHandover(box, change, from)
	case wire.KindDrain:
		return s.applyDrain(box, change, from)
	case wire.KindWithdraw:
		return s.applyWithdraw(box, from)
	case wire.KindEmpty:
		return s.applyEmpty(box, change, from)
	case wire.KindCarry:
		return s.applyCarry(box, from)
	case wire.KindBack:
		return s.applyBack(box, from)
	case wire.KindHealth:
		return s.applyHealth(box, change, from)
	}
	return s, "", refuse("unknown kind %q", proposal.Kind)
}

// subjectOf returns the Subject of a proposal's result.
func subjectOf(proposal wire.Proposal) string {
	switch {
	case proposal.Change != nil:
		return proposal.Change.Box
	case proposal.Release != nil:
		return proposal.Release.Node
	case proposal.Edit != nil:
		return strings.Join(table.EditedRows(*proposal.Edit), " ")
	}
	names := make([]string, 0, len(proposal.Boxes))
	for _, box := range proposal.Boxes {
		names = append(names, box.Name)
	}
	return strings.Join(names, " ")
}

// authorOf returns the Author of a proposal's result.
func authorOf(proposal wire.Proposal, batch wire.Batch) string {
	if proposal.Author != "" {
		return proposal.Author
	}
	return batch.Node
}
