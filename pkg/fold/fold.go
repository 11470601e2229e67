package fold

import (
	"encoding/json"
	"fmt"
	"strings"

	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

// Result is what became of one proposal.
type Result struct {
	Proposal wire.Proposal
	// Subject names the boxes, the node or the rows that the proposal is about,
	// with a space between them.
	Subject  string
	Accepted bool
	// Reason says why it was refused, or what it did.
	Reason string
	// Author is the proposal's author, or else the batch's writer.
	Author string
}

// refusal is a typed reason by which a proposal is refused.
type refusal string

// Error returns the reason.
func (r refusal) Error() string {
	return string(r)
}

func refuse(format string, values ...any) error {
	return refusal(fmt.Sprintf(format, values...))
}

// step is the place of a proposal in the log.
type step struct {
	offset int
	at     int
	batch  wire.Batch
}

// Apply returns the state after a record and a verdict for each of its
// proposals. A record that can't be read is passed over by every process alike.
func (s State) Apply(record wire.Entry) (State, []Result) {
	s.offset = record.Offset + 1
	s.at = max(s.at, record.At)
	var batch wire.Batch
	if err := json.Unmarshal([]byte(record.Data), &batch); err != nil {
		return s, []Result{{Subject: "record", Reason: fmt.Sprintf("not readable: %v", err)}}
	}
	if err := s.checkCopy(batch); err != nil {
		return s, []Result{{Subject: batch.Node, Reason: err.Error(), Author: batch.Node}}
	}
	s = s.withWriter(batch)
	where := step{offset: record.Offset, at: s.at, batch: batch}
	verdicts := make([]Result, 0, len(batch.Proposals))
	for _, proposal := range batch.Proposals {
		next, did, err := s.apply(proposal, where)
		verdict := Result{Proposal: proposal, Subject: subject(proposal), Accepted: err == nil, Reason: did, Author: author(proposal, batch)}
		if err != nil {
			verdict.Reason = err.Error()
		} else {
			s = next
		}
		verdicts = append(verdicts, verdict)
	}
	return s, verdicts
}

// checkCopy refuses a batch that landed twice or after a later one of the same
// keeper, which has decided on what it read in between.
func (s State) checkCopy(batch wire.Batch) error {
	last, known := s.writers.Get(batch.Node)
	if batch.Incarnation == 0 || !known || last.Incarnation != batch.Incarnation {
		return nil
	}
	if batch.Number <= last.Number {
		return refuse("batch %d of %s landed again or late; %d is folded already", batch.Number, batch.Node, last.Number)
	}
	return nil
}

// LastBatchNumber returns the number of the newest folded batch of a keeper's
// incarnation, 0 if there is none.
func (s State) LastBatchNumber(incarnation int) int {
	for entries := s.writers.Iterator(); !entries.Done(); {
		if _, last, _ := entries.Next(); last.Incarnation == incarnation {
			return last.Number
		}
	}
	return 0
}

func (s State) withWriter(batch wire.Batch) State {
	if batch.Incarnation != 0 {
		s.writers = s.writers.Set(batch.Node, writer{Incarnation: batch.Incarnation, Number: batch.Number})
	}
	return s
}

func (s State) apply(proposal wire.Proposal, where step) (State, string, error) {
	switch proposal.Kind {
	case wire.KindEdit:
		return s.edit(proposal, where)
	case wire.KindEnroll:
		return s.enroll(proposal, where)
	case wire.KindRenew:
		return s.renew(proposal, where)
	case wire.KindRelease:
		return s.release(proposal, where)
	case wire.KindCheckpoint:
		return s, "checkpoint", nil
	}
	if proposal.Change == nil {
		return s, "", refuse("a %q proposal needs a change", proposal.Kind)
	}
	return s.change(proposal, where)
}

// change applies the proposals that are about one box at one epoch.
func (s State) change(proposal wire.Proposal, where step) (State, string, error) {
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
		return s.assign(box, change, where)
	case wire.KindHandover:
		return s.handover(box, change, where)
	case wire.KindDrain:
		return s.drain(box, change, where)
	case wire.KindWithdraw:
		return s.withdraw(box, where)
	case wire.KindEmpty:
		return s.empty(box, change, where)
	case wire.KindCarry:
		return s.carry(box, where)
	case wire.KindBack:
		return s.back(box, where)
	case wire.KindHealth:
		return s.health(box, change, where)
	}
	return s, "", refuse("unknown kind %q", proposal.Kind)
}

func subject(proposal wire.Proposal) string {
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

func author(proposal wire.Proposal, batch wire.Batch) string {
	if proposal.Author != "" {
		return proposal.Author
	}
	return batch.Node
}
