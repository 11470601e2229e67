package plan

import (
	"fmt"
	"slices"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/table"
)

// evictBroken proposes to move broken boxes to the free pool, where they no longer
// count against the limit of boxes that may be down in their pool.
func (p *planner) evictBroken() {
	for _, name := range p.poolNames() {
		for _, box := range p.pools[name].broken {
			if box.Phase != fleetstate.Serving {
				continue
			}
			cause := fmt.Sprintf("repair: %s has been %s since %d", box.Info.Name, box.Health, box.HealthChangedAt)
			if err := p.proposeDrain(box, fleetstate.FreePool, false, cause); err != nil {
				p.deferChange(fmt.Sprintf("%s of pool %s is broken and can't be moved out: %v", box.Info.Name, name, err))
			}
		}
	}
}

// wantedSlots returns the number of slots that a pool should have: those that its
// services need, plus those of the rack with the most slots, which may fail, plus a
// reserve without which no box could be maintained. It is 0 if no service needs
// slots.
func (p *planner) wantedSlots(pool *poolCount) int {
	needed := p.state.Table().NeededSlots(pool.name)
	if needed == 0 {
		return 0
	}
	return needed + pool.maxRackSlots + p.reserveSlots(pool)
}

// reserveSlots returns the number of slots that a pool should have beyond its
// budget so that its boxes can be maintained: those of as many boxes as
// ConcurrentMaintenance returns.
func (p *planner) reserveSlots(pool *poolCount) int {
	slots := p.maxBoxSlots(pool)
	return slots * ConcurrentMaintenance(p.state.Table(), pool.name, slots)
}

// ConcurrentMaintenance returns how many boxes of a pool should be maintained at
// once. With a higher number it takes fewer rounds to maintain all boxes, but the
// pool holds more slots in reserve. The number has the lowest cost by the table's
// weights Rollout, for a round, and Buffer, for a box in reserve. boxSlots is the
// number of slots of one box.
func ConcurrentMaintenance(table table.Table, pool string, boxSlots int) int {
	weights := table.Deployment()
	boxes := (table.NeededSlots(pool) + boxSlots - 1) / boxSlots
	best, lowestCost := 1, 0
	for count := 1; count <= max(1, table.MaxDown(pool)); count++ {
		rounds := (boxes + count + count) / count
		cost := weights.Rollout*rounds + weights.Buffer*count
		if count == 1 || cost < lowestCost {
			best, lowestCost = count, cost
		}
	}
	return best
}

// defaultBoxSlots is the size of a box that is assumed for a pool without boxes.
const defaultBoxSlots = 8

// maxBoxSlots returns the slots of the pool's largest serving box, or
// defaultBoxSlots if it has none.
func (p *planner) maxBoxSlots(pool *poolCount) int {
	largest := 0
	for _, box := range pool.serving {
		largest = max(largest, box.Info.Slots)
	}
	if largest == 0 {
		return defaultBoxSlots
	}
	return largest
}

// growPools proposes to move boxes to each pool that has fewer slots than it
// wants: free boxes and, when there are none, boxes of the pools with the largest
// surplus.
func (p *planner) growPools() {
	for _, name := range p.byShortage() {
		pool := p.pools[name]
		slotLimit := p.rackSlotLimit(pool)
		for pool.slots < p.wantedSlots(pool) {
			if !p.growFromFree(pool, slotLimit) && !p.growFromDonor(pool) {
				p.deferChange(fmt.Sprintf("pool %s has %d slots of %d wanted and no box can be spared", name, pool.slots, p.wantedSlots(pool)))
				break
			}
		}
	}
}

// byShortage returns the names of all pools, starting with the one that lacks the
// most slots.
func (p *planner) byShortage() []string {
	names := p.poolNames()
	slices.SortStableFunc(names, func(a, b string) int {
		return p.surplusSlots(p.pools[a]) - p.surplusSlots(p.pools[b])
	})
	return names
}

// surplusSlots returns the slots that a pool has beyond those it wants; it is
// negative for a pool that lacks slots.
func (p *planner) surplusSlots(pool *poolCount) int {
	return pool.slots - p.wantedSlots(pool)
}

// growFromFree proposes to move a free box to a pool and reports whether it did.
// See freeBoxes.prefersRack for slotLimit.
func (p *planner) growFromFree(pool *poolCount, slotLimit int) bool {
	box, at, found := p.free.take(pool, slotLimit)
	if !found {
		return false
	}
	cause := fmt.Sprintf("pool %s has %d slots of %d wanted", pool.name, pool.slots, p.wantedSlots(pool))
	if err := p.proposeDrain(box, pool.name, p.isMaintenanceDue(box), cause); err != nil {
		p.deferChange(fmt.Sprintf("%s can't move to pool %s: %v", box.Info.Name, pool.name, err))
		return p.growFromFree(pool, slotLimit)
	}
	pool.add(box, at)
	return true
}

// growFromDonor proposes to move a box to a pool from the pool with the largest
// surplus that can spare one, and reports whether it did. A donor keeps its own
// reserve: otherwise the next plan would move the box back.
func (p *planner) growFromDonor(pool *poolCount) bool {
	for _, name := range p.bySurplus() {
		donor := p.pools[name]
		if donor == pool || p.surplusSlots(donor) < p.maxBoxSlots(donor) {
			continue
		}
		if p.moveBox(donor, pool) {
			return true
		}
	}
	return false
}

// bySurplus returns the names of all pools, starting with the one that has the
// largest surplus.
func (p *planner) bySurplus() []string {
	names := p.byShortage()
	slices.Reverse(names)
	return names
}

// moveBox proposes to move one box from donor to receiver and reports whether it
// did. It prefers boxes in the racks where the receiver has the fewest slots and,
// among those, the box whose last maintenance is oldest.
func (p *planner) moveBox(donor, receiver *poolCount) bool {
	candidates := slices.Clone(donor.serving)
	slices.SortStableFunc(candidates, func(a, b fleetstate.Box) int {
		if difference := receiver.rackSlots[p.locator.locate(a).rack] - receiver.rackSlots[p.locator.locate(b).rack]; difference != 0 {
			return difference
		}
		return a.MaintainedAt - b.MaintainedAt
	})
	for _, box := range candidates {
		cause := fmt.Sprintf("pool %s has %d slots of %d wanted, pool %s can spare %d",
			receiver.name, receiver.slots, p.wantedSlots(receiver), donor.name, p.surplusSlots(donor))
		if p.proposeDrain(box, receiver.name, p.isMaintenanceDue(box) && p.state.InMaintenanceWindow(donor.name, p.state.LogTimeMs()), cause) == nil {
			at := p.locator.locate(box)
			donor.remove(box, at)
			donor.serving = withoutBox(donor.serving, box)
			receiver.add(box, at)
			return true
		}
	}
	return false
}

// withoutBox returns a copy of the boxes without one of them.
func withoutBox(boxes []fleetstate.Box, removed fleetstate.Box) []fleetstate.Box {
	return slices.DeleteFunc(slices.Clone(boxes), func(box fleetstate.Box) bool { return box.Info.Name == removed.Info.Name })
}

// freeSurplus proposes to move the surplus boxes of each pool to the free pool, if
// the table's weights make a box in reserve more expensive than a move. It leaves a
// surplus of less than two boxes alone, so that no box moves for a small edit that
// is undone later.
func (p *planner) freeSurplus() {
	if p.deployment().Buffer <= p.deployment().Moves {
		return
	}
	const hysteresisBoxes = 2
	for _, name := range p.poolNames() {
		pool := p.pools[name]
		if p.surplusSlots(pool) < hysteresisBoxes*p.maxBoxSlots(pool) {
			continue
		}
		for p.surplusSlots(pool) >= p.maxBoxSlots(pool) && p.freeBox(pool) {
			continue
		}
	}
}

// freeBox proposes to move one box of the pool to the free pool and reports whether
// it did. It prefers boxes in the racks where the pool has the most slots.
func (p *planner) freeBox(pool *poolCount) bool {
	candidates := slices.Clone(pool.serving)
	slices.SortStableFunc(candidates, func(a, b fleetstate.Box) int {
		return pool.rackSlots[p.locator.locate(b).rack] - pool.rackSlots[p.locator.locate(a).rack]
	})
	for _, box := range candidates {
		cause := fmt.Sprintf("pool %s has %d slots, %d are wanted", pool.name, pool.slots, p.wantedSlots(pool))
		if p.proposeDrain(box, fleetstate.FreePool, false, cause) == nil {
			pool.remove(box, p.locator.locate(box))
			pool.serving = withoutBox(pool.serving, box)
			return true
		}
	}
	return false
}
