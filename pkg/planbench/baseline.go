package planbench

import (
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// Baseline is the simple planner with which plan.New is compared. It gives pools the
// first free boxes by name, whatever their racks, frees boxes as soon as their pool
// doesn't need them, and maintains one box at a time.
func Baseline(state fleetstate.State, _ plan.Options) plan.Plan {
	b := &baseline{state: state}
	for _, box := range state.Boxes() {
		if box.Pool != fleetstate.FreePool && box.Health != wire.HealthUp && box.Phase == fleetstate.Serving {
			b.proposeDrain(box, fleetstate.FreePool, false)
		}
	}
	for _, pool := range state.Table().Deployment().Pools {
		b.fillPool(pool)
	}
	if len(b.plan.Proposals) == 0 {
		b.maintainOne()
	}
	return b.plan
}

// baseline holds the data of one call of Baseline.
type baseline struct {
	state fleetstate.State // The fleet's state after the drains proposed so far.
	plan  plan.Plan
}

// proposeDrain proposes to drain a box and then to move it to the target pool, or to
// maintain it. It returns false, and proposes nothing, if the drain would be refused.
func (b *baseline) proposeDrain(box fleetstate.Box, target string, maintain bool) bool {
	next, err := b.state.WithDrain(box.Info.Name, target, maintain)
	if err != nil {
		return false
	}
	b.state = next
	change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Pool: target, Maintain: maintain}
	b.plan.Proposals = append(b.plan.Proposals, wire.Proposal{Kind: wire.KindDrain, Change: change})
	return true
}

// fillPool gives free boxes to a pool until it has the wanted slots, and frees its last
// boxes as long as it keeps the wanted slots.
func (b *baseline) fillPool(pool string) {
	rackSlots := map[string]int{}
	slots, boxSlots := 0, 1
	var own, free []fleetstate.Box
	for _, box := range b.state.Boxes() {
		boxSlots = max(boxSlots, box.Info.Slots)
		switch {
		case box.Pool == pool && box.Health == wire.HealthUp:
			own = append(own, box)
			slots += box.Info.Slots
			rackSlots[box.Info.Hall+box.Info.Rack] += box.Info.Slots
		case box.Pool == fleetstate.FreePool && box.Health == wire.HealthUp && box.Phase == fleetstate.Serving:
			free = append(free, box)
		}
	}
	for len(free) > 0 && slots < b.wantedSlots(pool, rackSlots, boxSlots) {
		box := free[0]
		free = free[1:]
		if b.proposeDrain(box, pool, false) {
			slots += box.Info.Slots
			rackSlots[box.Info.Hall+box.Info.Rack] += box.Info.Slots
		}
	}
	for last := len(own) - 1; last >= 0 && slots-own[last].Info.Slots >= b.wantedSlots(pool, rackSlots, boxSlots); last-- {
		if !b.proposeDrain(own[last], fleetstate.FreePool, false) {
			return
		}
		slots -= own[last].Info.Slots
		rackSlots[own[last].Info.Hall+own[last].Info.Rack] -= own[last].Info.Slots
	}
}

// wantedSlots returns the number of slots that a pool needs so that its services have
// enough even if its largest rack fails while a box is in maintenance. rackSlots holds
// the pool's slots by rack, and boxSlots is the number of slots of the largest box.
func (b *baseline) wantedSlots(pool string, rackSlots map[string]int, boxSlots int) int {
	maxRackSlots := 0
	for _, slots := range rackSlots {
		maxRackSlots = max(maxRackSlots, slots)
	}
	return b.state.Table().NeededSlots(pool) + maxRackSlots + boxSlots
}

// maintainOne proposes the maintenance of the first box that is due for it and whose
// drain isn't refused.
func (b *baseline) maintainOne() {
	before := b.state.Table().Deployment().MaintainBefore
	for _, box := range b.state.Boxes() {
		if box.MaintainedAt < before && box.Phase == fleetstate.Serving && b.proposeDrain(box, box.Pool, true) {
			return
		}
	}
}
