package plan

import (
	"fmt"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// cancelDrains proposes to cancel drains in pools whose slots have fallen below the
// floors of their services. Boxes that have failed since the drains were accepted
// count against the same budget as boxes that are drained.
func (p *planner) cancelDrains() {
	for _, box := range p.boxes {
		if box.Phase != fleetstate.Draining || box.Health != wire.HealthUp || box.Pool == fleetstate.FreePool {
			continue
		}
		floor := p.state.Table().FloorSlots(box.Pool)
		slots := p.state.Pool(box.Pool).Slots
		if slots >= floor {
			continue
		}
		p.plan.Proposals = append(p.plan.Proposals, wire.Proposal{
			Kind:   wire.KindWithdraw,
			Cause:  fmt.Sprintf("pool %s has %d slots, its services' floors are %d", box.Pool, slots, floor),
			Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch},
		})
	}
}
