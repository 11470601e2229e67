package plan

import (
	"fmt"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// withdrawDrains takes back drains of pools that have since fallen below their
// floors: a failure that nobody asked for counts against the same budget.
func (p *planner) withdrawDrains() {
	for _, box := range p.boxes {
		if box.Phase != fold.Draining || box.Health != wire.HealthUp || box.Pool == fold.FreePool {
			continue
		}
		floor := p.state.Table().FloorSlots(box.Pool)
		slots := p.state.Pool(box.Pool).Slots
		if slots >= floor {
			continue
		}
		p.plan.Proposals = append(p.plan.Proposals, wire.Proposal{
			Kind:   wire.KindWithdraw,
			Cause:  fmt.Sprintf("pool %s has %d slots, its floors are %d", box.Pool, slots, floor),
			Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch},
		})
	}
}
