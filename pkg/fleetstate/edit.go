package fleetstate

import (
	"fmt"

	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

// applyEdit applies an edit of the shared table.
func (s State) applyEdit(proposal wire.Proposal, from origin) (State, string, error) {
	if proposal.Edit == nil {
		return s, "", refuse("an edit proposal needs an edit")
	}
	next, err := s.table.Apply(*proposal.Edit, proposal.Author, from.logTimeMs, s.slots)
	if err != nil {
		return s, "", fmt.Errorf("edit on version %d: %w", proposal.Edit.Base, err)
	}
	s.table = next
	return s, fmt.Sprintf("table is at version %d: %s", next.Version(), table.DescribeEdit(*proposal.Edit)), nil
}

// applyEnroll adds boxes from the platform's list to the free pool. A box that
// is enrolled already keeps its state and gets the listed address, zone, rack
// and slots. That is refused while the box has a sender.
func (s State) applyEnroll(proposal wire.Proposal, from origin) (State, string, error) {
	added := 0
	for _, info := range proposal.Boxes {
		if info.Name == "" || info.Slots < 1 || info.Hall == "" {
			return s, "", refuse("box %q needs a name, an availability zone and at least one slot", info.Name)
		}
		box, known := s.Box(info.Name)
		if known && box.Info == info {
			continue
		}
		if known && !box.Sender.IsNone() {
			return s, "", refuse("box %s is in use by %s; its address can change only after a release", info.Name, box.Sender)
		}
		if !known {
			box = Box{Pool: FreePool, Phase: Serving, Health: wire.HealthUp, MaintainedAt: from.logTimeMs}
		}
		if known {
			s = s.withoutBoxCounts(box)
			s.boxes = s.boxes.Delete(info.Name)
		}
		box = box.withNextEpoch(from.offset, from.logTimeMs)
		box.Info = info
		s.boxes = s.boxes.Set(info.Name, &box)
		s = s.withBoxCounts(box)
		added++
	}
	if added == 0 {
		return s, "", refuse("every box is enrolled already")
	}
	return s, fmt.Sprintf("%d boxes enrolled", added), nil
}
