package fold

import (
	"fmt"

	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

func (s State) edit(proposal wire.Proposal, where step) (State, string, error) {
	if proposal.Edit == nil {
		return s, "", refuse("an edit needs its cells")
	}
	next, err := s.table.Apply(*proposal.Edit, proposal.Author, where.at, s.slots)
	if err != nil {
		return s, "", fmt.Errorf("edit on version %d: %w", proposal.Edit.Base, err)
	}
	s.table = next
	return s, fmt.Sprintf("table is at version %d: %s", next.Version(), table.DescribeEdit(*proposal.Edit)), nil
}

// enroll takes boxes from the platform's list into the free pool; a known box
// keeps its place and takes the new address.
func (s State) enroll(proposal wire.Proposal, where step) (State, string, error) {
	added := 0
	for _, info := range proposal.Boxes {
		if info.Name == "" || info.Slots < 1 || info.Hall == "" {
			return s, "", refuse("box %q needs a name, a hall and slots", info.Name)
		}
		box, known := s.Box(info.Name)
		if known && box.Info == info {
			continue
		}
		if known && !box.Sender.IsNone() {
			return s, "", refuse("box %s is in use by %s; its address changes after a release", info.Name, box.Sender)
		}
		if !known {
			box = Box{Pool: FreePool, Phase: Serving, Health: wire.HealthUp, MaintainedAt: where.at}
		}
		if known {
			s = s.withoutShare(box)
			s.boxes = s.boxes.Delete(info.Name)
		}
		box = box.moved(where.offset, where.at)
		box.Info = info
		s.boxes = s.boxes.Set(info.Name, &box)
		s = s.withShare(box)
		added++
	}
	if added == 0 {
		return s, "", refuse("every box is enrolled already")
	}
	return s, fmt.Sprintf("%d boxes enrolled", added), nil
}
