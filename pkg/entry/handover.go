package entry

import (
	"slices"
	"time"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

const (
	// handoverDivisor limits how many boxes an entry hands over at once, to about one in handoverDivisor
	// of its boxes, so that the pools keep most of their slots.
	handoverDivisor = 4
	// minImbalance is the smallest difference in the number of boxes between two entries of a zone at
	// which the one with more boxes hands some over.
	minImbalance = 2
)

// handoverProposals returns proposals to hand boxes over to other entries. In a planned stop all boxes are
// handed over. Otherwise these are the boxes of other zones that have entries of their own or, if there
// are none, as many as balance the entries of this entry's zone. Earlier handovers that are due for
// another try come before new ones.
func (e *Entry) handoverProposals(now time.Time) []wire.Proposal {
	successors := e.successors()
	if repeated := e.repeatHandovers(successors, now); len(repeated) > 0 {
		return repeated
	}
	if len(successors) == 0 {
		return nil
	}
	if e.leaving {
		return e.handOverBoxes(successors, len(e.boxes), now, func(*ownBox) bool { return true })
	}
	misplaced := e.handOverBoxes(successors, len(e.boxes), now, func(box *ownBox) bool {
		return box.Info.Hall != e.deps.Settings.Hall && len(sendersInZone(successors, box.Info.Hall)) > 0
	})
	if len(misplaced) > 0 {
		return misplaced
	}
	return e.rebalance(successors, now)
}

// rebalance returns proposals to hand half of the difference in boxes over to the entry of this zone
// that has the fewest.
func (e *Entry) rebalance(successors []fleetstate.Sender, now time.Time) []wire.Proposal {
	inZone := sendersInZone(successors, e.deps.Settings.Hall)
	if len(inZone) == 0 {
		return nil
	}
	least := slices.MinFunc(inZone, func(a, b fleetstate.Sender) int { return a.Boxes - b.Boxes })
	surplus := len(e.boxes) - least.Boxes
	if surplus < minImbalance {
		return nil
	}
	return e.handOverBoxes([]fleetstate.Sender{least}, surplus/2, now, func(*ownBox) bool { return true })
}

// handOverBoxes returns proposals to hand over to successors eligible boxes that have no requests in
// flight: at most maxBoxes, and at most a part of all boxes (see handoverDivisor). These boxes get no new
// work until the log has accepted or superseded their handover.
func (e *Entry) handOverBoxes(successors []fleetstate.Sender, maxBoxes int, now time.Time, eligible func(*ownBox) bool) []wire.Proposal {
	maxBoxes = min(maxBoxes, 1+len(e.boxes)/handoverDivisor)
	var proposals []wire.Proposal
	for _, box := range e.boxes {
		if len(proposals) >= maxBoxes {
			break
		}
		if !eligible(box) || box.inUse > 0 || now.Before(box.mayStillRunUntil) || now.Sub(box.proposedAt) < proposalRetryDelay || box.Phase == fleetstate.Draining {
			continue
		}
		proposals = append(proposals, e.newHandover(box, successorFor(box, successors, len(proposals)), now))
	}
	return proposals
}

// successorFor returns the successor that gets a box: one in the box's zone or, if there is none, any. The
// caller counts turn up from box to box, which spreads the boxes over the successors.
func successorFor(box *ownBox, successors []fleetstate.Sender, turn int) fleetstate.SenderKey {
	if inZone := sendersInZone(successors, box.Info.Hall); len(inZone) > 0 {
		successors = inZone
	}
	return successors[turn%len(successors)].Key
}

// sendersInZone returns those of the senders that are in a zone.
func sendersInZone(senders []fleetstate.Sender, zone string) []fleetstate.Sender {
	var found []fleetstate.Sender
	for _, sender := range senders {
		if sender.Zone == zone {
			found = append(found, sender)
		}
	}
	return found
}

// newHandover returns a proposal to hand a box over, and marks the box so that it gets no new work.
func (e *Entry) newHandover(box *ownBox, successor fleetstate.SenderKey, now time.Time) wire.Proposal {
	box.proposedAt, box.handoverPending = now, true
	proposal := e.newProposal(wire.KindHandover, box, "its sender stops as planned, or has more boxes than others")
	proposal.Change.ToNode, proposal.Change.ToEntry = successor.Node, successor.Incarnation
	return proposal
}

// repeatHandovers returns new proposals for handovers that the log has not decided on. If there is no
// successor any more, the box is handed over to this entry itself: that starts a new epoch, in which the
// earlier proposals are no longer valid.
func (e *Entry) repeatHandovers(successors []fleetstate.Sender, now time.Time) []wire.Proposal {
	var proposals []wire.Proposal
	for _, box := range e.boxes {
		if !box.handoverPending || now.Sub(box.proposedAt) < proposalRetryDelay {
			continue
		}
		successor := e.key
		if len(successors) > 0 {
			successor = successorFor(box, successors, len(proposals))
		}
		proposals = append(proposals, e.newHandover(box, successor, now))
	}
	return proposals
}

// successors returns the other entries that can take over boxes: those that have renewed their leases
// recently, are not in a planned stop, and could be released in turn if they were lost.
func (e *Entry) successors() []fleetstate.Sender {
	var successors []fleetstate.Sender
	for _, sender := range e.state.Senders() {
		fresh := sender.RenewedAt >= e.state.LogTimeMs()-e.deps.Settings.LeaseMs
		if sender.Key != e.key && !sender.Leaving && fresh && e.state.Releasable(sender) {
			successors = append(successors, sender)
		}
	}
	return successors
}
