package front

import (
	"slices"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

const (
	// handoverDivisor is the part of its boxes that an entry hands over at once, so
	// that their pools keep most of their slots.
	handoverDivisor = 4
	// minImbalance is the difference of boxes between two senders of a hall from
	// which on the one with more hands over.
	minImbalance = 2
)

// handoverProposals proposes to pass boxes to other senders: all of them in a planned
// stop, otherwise those of other halls that have senders of their own, and as
// many as make the hall's senders even.
func (e *Entry) handoverProposals(now time.Time) []wire.Proposal {
	heirs := e.successors()
	if again := e.repeatHandovers(heirs, now); len(again) > 0 {
		return again
	}
	if len(heirs) == 0 {
		return nil
	}
	if e.leaving {
		return e.handOverBoxes(heirs, len(e.boxes), now, func(*ownBox) bool { return true })
	}
	misplaced := e.handOverBoxes(heirs, len(e.boxes), now, func(box *ownBox) bool {
		return box.Info.Hall != e.deps.Settings.Hall && len(sendersInZone(heirs, box.Info.Hall)) > 0
	})
	if len(misplaced) > 0 {
		return misplaced
	}
	return e.rebalance(heirs, now)
}

// rebalance passes boxes to the hall's sender that has least.
func (e *Entry) rebalance(heirs []fold.Sender, now time.Time) []wire.Proposal {
	near := sendersInZone(heirs, e.deps.Settings.Hall)
	if len(near) == 0 {
		return nil
	}
	least := slices.MinFunc(near, func(a, b fold.Sender) int { return a.Boxes - b.Boxes })
	more := len(e.boxes) - least.Boxes
	if more < minImbalance {
		return nil
	}
	return e.handOverBoxes([]fold.Sender{least}, more/2, now, func(*ownBox) bool { return true })
}

// handOverBoxes proposes to pass wanted boxes with nothing in flight to heirs in
// turn, those of the box's hall first, and at most a part of all boxes at once.
// A box that is picked gets no new work until the log has decided.
func (e *Entry) handOverBoxes(heirs []fold.Sender, most int, now time.Time, wanted func(*ownBox) bool) []wire.Proposal {
	most = min(most, 1+len(e.boxes)/handoverDivisor)
	var proposals []wire.Proposal
	for _, box := range e.boxes {
		if len(proposals) >= most {
			break
		}
		if !wanted(box) || box.inUse > 0 || now.Before(box.mayStillRunUntil) || now.Sub(box.proposedAt) < proposalRetryDelay || box.Phase == fold.Draining {
			continue
		}
		proposals = append(proposals, e.newHandover(box, successorFor(box, heirs, len(proposals)), now))
	}
	return proposals
}

// successorFor returns a sender of the box's hall, or else any.
func successorFor(box *ownBox, heirs []fold.Sender, turn int) fold.SenderKey {
	if near := sendersInZone(heirs, box.Info.Hall); len(near) > 0 {
		heirs = near
	}
	return heirs[turn%len(heirs)].Key
}

func sendersInZone(senders []fold.Sender, hall string) []fold.Sender {
	var found []fold.Sender
	for _, sender := range senders {
		if sender.Zone == hall {
			found = append(found, sender)
		}
	}
	return found
}

func (e *Entry) newHandover(box *ownBox, heir fold.SenderKey, now time.Time) wire.Proposal {
	box.proposedAt, box.handoverPending = now, true
	proposal := e.newProposal(wire.KindHandover, box, "its sender stops as planned, or has more boxes than others")
	proposal.Change.ToNode, proposal.Change.ToEntry = heir.Node, heir.Incarnation
	return proposal
}

// repeatHandovers repeats hand-overs that the log has not decided. Without an heir
// the box goes to this entry itself, which settles it just as well.
func (e *Entry) repeatHandovers(heirs []fold.Sender, now time.Time) []wire.Proposal {
	var proposals []wire.Proposal
	for _, box := range e.boxes {
		if !box.handoverPending || now.Sub(box.proposedAt) < proposalRetryDelay {
			continue
		}
		heir := e.key
		if len(heirs) > 0 {
			heir = successorFor(box, heirs, len(proposals))
		}
		proposals = append(proposals, e.newHandover(box, heir, now))
	}
	return proposals
}

// successors returns the other senders that renew.
func (e *Entry) successors() []fold.Sender {
	var heirs []fold.Sender
	for _, sender := range e.state.Senders() {
		fresh := sender.RenewedAt >= e.state.LogTimeMs()-e.deps.Settings.LeaseMs
		if sender.Key != e.key && !sender.Leaving && fresh && e.state.Releasable(sender) {
			heirs = append(heirs, sender)
		}
	}
	return heirs
}
