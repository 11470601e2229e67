package front

import (
	"slices"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

const (
	// handoverParts is the part of its boxes that an entry hands over at once, so
	// that their pools keep most of their slots.
	handoverParts = 4
	// unevenBy is the difference of boxes between two senders of a hall from
	// which on the one with more hands over.
	unevenBy = 2
)

// handovers proposes to pass boxes to other senders: all of them in a planned
// stop, otherwise those of other halls that have senders of their own, and as
// many as make the hall's senders even.
func (f *Entry) handovers(now time.Time) []wire.Proposal {
	heirs := f.heirs()
	if again := f.handOverAgain(heirs, now); len(again) > 0 {
		return again
	}
	if len(heirs) == 0 {
		return nil
	}
	if f.leaving {
		return f.handOver(heirs, len(f.boxes), now, func(*ownBox) bool { return true })
	}
	misplaced := f.handOver(heirs, len(f.boxes), now, func(box *ownBox) bool {
		return box.Info.Hall != f.deps.Settings.Hall && len(inHall(heirs, box.Info.Hall)) > 0
	})
	if len(misplaced) > 0 {
		return misplaced
	}
	return f.evenOut(heirs, now)
}

// evenOut passes boxes to the hall's sender that has least.
func (f *Entry) evenOut(heirs []fold.Sender, now time.Time) []wire.Proposal {
	near := inHall(heirs, f.deps.Settings.Hall)
	if len(near) == 0 {
		return nil
	}
	least := slices.MinFunc(near, func(a, b fold.Sender) int { return a.Boxes - b.Boxes })
	more := len(f.boxes) - least.Boxes
	if more < unevenBy {
		return nil
	}
	return f.handOver([]fold.Sender{least}, more/2, now, func(*ownBox) bool { return true })
}

// handOver proposes to pass wanted boxes with nothing in flight to heirs in
// turn, those of the box's hall first, and at most a part of all boxes at once.
// A box that is picked gets no new work until the log has decided.
func (f *Entry) handOver(heirs []fold.Sender, most int, now time.Time, wanted func(*ownBox) bool) []wire.Proposal {
	most = min(most, 1+len(f.boxes)/handoverParts)
	var proposals []wire.Proposal
	for _, box := range f.boxes {
		if len(proposals) >= most {
			break
		}
		if !wanted(box) || box.inUse > 0 || now.Before(box.mayRunUntil) || now.Sub(box.asked) < askAgain || box.Phase == fold.Draining {
			continue
		}
		proposals = append(proposals, f.giveUp(box, heirFor(box, heirs, len(proposals)), now))
	}
	return proposals
}

// heirFor returns a sender of the box's hall, or else any.
func heirFor(box *ownBox, heirs []fold.Sender, turn int) fold.SenderKey {
	if near := inHall(heirs, box.Info.Hall); len(near) > 0 {
		heirs = near
	}
	return heirs[turn%len(heirs)].Key
}

func inHall(senders []fold.Sender, hall string) []fold.Sender {
	var found []fold.Sender
	for _, sender := range senders {
		if sender.Zone == hall {
			found = append(found, sender)
		}
	}
	return found
}

func (f *Entry) giveUp(box *ownBox, heir fold.SenderKey, now time.Time) wire.Proposal {
	box.asked, box.givenUp = now, true
	proposal := f.proposal(wire.KindHandover, box, "its sender stops as planned, or has more boxes than others")
	proposal.Change.ToNode, proposal.Change.ToEntry = heir.Node, heir.Incarnation
	return proposal
}

// handOverAgain repeats hand-overs that the log has not decided. Without an heir
// the box goes to this entry itself, which settles it just as well.
func (f *Entry) handOverAgain(heirs []fold.Sender, now time.Time) []wire.Proposal {
	var proposals []wire.Proposal
	for _, box := range f.boxes {
		if !box.givenUp || now.Sub(box.asked) < askAgain {
			continue
		}
		heir := f.key
		if len(heirs) > 0 {
			heir = heirFor(box, heirs, len(proposals))
		}
		proposals = append(proposals, f.giveUp(box, heir, now))
	}
	return proposals
}

// heirs returns the other senders that renew.
func (f *Entry) heirs() []fold.Sender {
	var heirs []fold.Sender
	for _, sender := range f.state.Senders() {
		fresh := sender.RenewedAt >= f.state.LogTimeMs()-f.deps.Settings.LeaseMs
		if sender.Key != f.key && !sender.Leaving && fresh && f.state.Releasable(sender) {
			heirs = append(heirs, sender)
		}
	}
	return heirs
}
