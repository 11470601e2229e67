package plan

import (
	"fmt"
	"slices"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/table"
)

// evictBroken sends boxes that are lost to the free pool, so that they no
// longer count against their pool's limit of boxes down.
func (p *planner) evictBroken() {
	for _, name := range p.poolNames() {
		for _, box := range p.census[name].broken {
			if box.Phase != fold.Serving {
				continue
			}
			cause := fmt.Sprintf("repair: %s is %s since %d", box.Info.Name, box.Health, box.HealthChangedAt)
			if err := p.drain(box, fold.FreePool, false, cause); err != nil {
				p.wait(fmt.Sprintf("%s of pool %s is broken and stays: %v", box.Info.Name, name, err))
			}
		}
	}
}

// wanted returns the slots that a pool should have: what its services need, the
// worst rack on top, and a reserve so that boxes can be maintained at all.
func (p *planner) wanted(pool *census) int {
	needed := p.state.Table().NeededSlots(pool.name)
	if needed == 0 {
		return 0
	}
	return needed + pool.worst + p.reserve(pool)
}

// reserve returns the slots that a pool keeps so that boxes can be maintained
// beside its budget. A larger one ends a wave in fewer rounds and holds back
// more; the table's weights decide.
func (p *planner) reserve(pool *census) int {
	slots := p.boxSlots(pool)
	return slots * ConcurrentMaintenance(p.state.Table(), pool.name, slots)
}

// ConcurrentMaintenance returns how many boxes of a pool should be maintained at once: more
// end a wave in fewer rounds and hold back more slots, and the table's weights
// say which is dearer.
func ConcurrentMaintenance(table table.Table, pool string, slots int) int {
	measures := table.Deployment()
	boxes := (table.NeededSlots(pool) + slots - 1) / slots
	best, least := 1, 0
	for at := 1; at <= max(1, table.MaxDown(pool)); at++ {
		rounds := (boxes + at + at) / at
		cost := measures.Rollout*rounds + measures.Buffer*at
		if at == 1 || cost < least {
			best, least = at, cost
		}
	}
	return best
}

const defaultBoxSlots = 8

// boxSlots returns the size of the pool's largest box.
func (p *planner) boxSlots(pool *census) int {
	largest := 0
	for _, box := range pool.boxes {
		largest = max(largest, box.Info.Slots)
	}
	if largest == 0 {
		return defaultBoxSlots
	}
	return largest
}

// growPools gives each pool below its wanted slots boxes from the free pool,
// and when that has none, from the pool with most to spare.
func (p *planner) growPools() {
	for _, name := range p.byShortage() {
		pool := p.census[name]
		level := p.level(pool)
		for pool.slots < p.wanted(pool) {
			if !p.growFromFree(pool, level) && !p.growFromDonor(pool) {
				p.wait(fmt.Sprintf("pool %s has %d slots of %d wanted and no box can be spared", name, pool.slots, p.wanted(pool)))
				break
			}
		}
	}
}

// byShortage returns the pools in order of how much they lack, worst first.
func (p *planner) byShortage() []string {
	names := p.poolNames()
	slices.SortStableFunc(names, func(a, b string) int {
		return p.surplus(p.census[a]) - p.surplus(p.census[b])
	})
	return names
}

func (p *planner) surplus(pool *census) int {
	return pool.slots - p.wanted(pool)
}

func (p *planner) growFromFree(pool *census, level int) bool {
	box, at, found := p.free.take(pool, level)
	if !found {
		return false
	}
	cause := fmt.Sprintf("pool %s has %d slots of %d wanted", pool.name, pool.slots, p.wanted(pool))
	if err := p.drain(box, pool.name, p.due(box), cause); err != nil {
		p.wait(fmt.Sprintf("%s can't go to pool %s: %v", box.Info.Name, pool.name, err))
		return p.growFromFree(pool, level)
	}
	pool.add(box, at)
	return true
}

// growFromDonor moves a box from the pool with the largest surplus. A pool
// gives only what it can miss with its own reserve kept, so that a box doesn't
// come back by the next plan.
func (p *planner) growFromDonor(pool *census) bool {
	for _, name := range p.bySurplus() {
		donor := p.census[name]
		if donor == pool || p.surplus(donor) < p.boxSlots(donor) {
			continue
		}
		if p.moveOne(donor, pool) {
			return true
		}
	}
	return false
}

func (p *planner) bySurplus() []string {
	names := p.byShortage()
	slices.Reverse(names)
	return names
}

// moveOne moves the donor's box that spreads the receiver best and, among
// those, the one that needs maintenance next.
func (p *planner) moveOne(donor, receiver *census) bool {
	candidates := slices.Clone(donor.boxes)
	slices.SortStableFunc(candidates, func(a, b fold.Box) int {
		if difference := receiver.racks[p.atlas.place(a).rack] - receiver.racks[p.atlas.place(b).rack]; difference != 0 {
			return difference
		}
		return a.MaintainedAt - b.MaintainedAt
	})
	for _, box := range candidates {
		cause := fmt.Sprintf("pool %s has %d slots of %d wanted, pool %s can miss %d",
			receiver.name, receiver.slots, p.wanted(receiver), donor.name, p.surplus(donor))
		if p.drain(box, receiver.name, p.due(box) && p.state.InMaintenanceWindow(donor.name, p.state.LogTimeMs()), cause) == nil {
			at := p.atlas.place(box)
			donor.remove(box, at)
			donor.boxes = without(donor.boxes, box)
			receiver.add(box, at)
			return true
		}
	}
	return false
}

func without(boxes []fold.Box, gone fold.Box) []fold.Box {
	return slices.DeleteFunc(slices.Clone(boxes), func(box fold.Box) bool { return box.Info.Name == gone.Info.Name })
}

// returnSurplus frees boxes that a pool doesn't want, where the deployment
// holds buffer dearer than moves. Two boxes of surplus must stand, so that a
// small edit to and fro moves nothing.
func (p *planner) returnSurplus() {
	if p.measures().Buffer <= p.measures().Moves {
		return
	}
	const hysteresisBoxes = 2
	for _, name := range p.poolNames() {
		pool := p.census[name]
		if p.surplus(pool) < hysteresisBoxes*p.boxSlots(pool) {
			continue
		}
		for p.surplus(pool) >= p.boxSlots(pool) && p.freeOne(pool) {
			continue
		}
	}
}

func (p *planner) freeOne(pool *census) bool {
	candidates := slices.Clone(pool.boxes)
	slices.SortStableFunc(candidates, func(a, b fold.Box) int {
		return pool.racks[p.atlas.place(b).rack] - pool.racks[p.atlas.place(a).rack]
	})
	for _, box := range candidates {
		cause := fmt.Sprintf("pool %s has %d slots, %d are wanted", pool.name, pool.slots, p.wanted(pool))
		if p.drain(box, fold.FreePool, false, cause) == nil {
			pool.remove(box, p.atlas.place(box))
			pool.boxes = without(pool.boxes, box)
			return true
		}
	}
	return false
}
