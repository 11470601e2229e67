package plan

import (
	"slices"

	"damsonwinch/pkg/fleetstate"
)

// freeBoxes holds the free boxes by the number of their rack.
type freeBoxes struct {
	racks     [][]fleetstate.Box
	locations []location // Of each rack that has or had a free box.
	count     int        // Number of boxes in all racks.
}

func newFreeBoxes(rackCount int) *freeBoxes {
	return &freeBoxes{racks: make([][]fleetstate.Box, rackCount), locations: make([]location, rackCount)}
}

func (f *freeBoxes) add(box fleetstate.Box, at location) {
	f.racks[at.rack] = append(f.racks[at.rack], box)
	f.locations[at.rack] = at
	f.count++
}

// take removes a free box from the rack that suits a pool best, and returns it
// with its location. Of that rack it takes the box whose last maintenance is
// oldest. See prefersRack for slotLimit. It returns false if no box is free.
func (f *freeBoxes) take(pool *poolCount, slotLimit int) (fleetstate.Box, location, bool) {
	best := -1
	for rack := range f.racks {
		if len(f.racks[rack]) > 0 && (best < 0 || f.prefersRack(pool, slotLimit, rack, best)) {
			best = rack
		}
	}
	if best < 0 {
		return fleetstate.Box{}, location{}, false
	}
	boxes := f.racks[best]
	oldest := 0
	for i := range boxes {
		if boxes[i].MaintainedAt < boxes[oldest].MaintainedAt {
			oldest = i
		}
	}
	taken := boxes[oldest]
	f.racks[best] = slices.Delete(boxes, oldest, oldest+1)
	f.count--
	return taken, f.locations[best], true
}

// prefersRack reports whether a box from one rack suits a pool better than a box from
// another. Racks in which the pool has fewer slots than slotLimit come first.
// Among these the pool takes from the rack with the most free boxes: racks with few
// free boxes are left to pools that need just those racks. Among the others it
// takes from the rack in which it has the fewest slots. Further ties go to the
// rack, and then to the zone, in which the pool has the fewest slots.
func (f *freeBoxes) prefersRack(pool *poolCount, slotLimit, rack, other int) bool {
	below, otherBelow := pool.rackSlots[rack] < slotLimit, pool.rackSlots[other] < slotLimit
	if below != otherBelow {
		return below
	}
	if !below && pool.rackSlots[rack] != pool.rackSlots[other] {
		return pool.rackSlots[rack] < pool.rackSlots[other]
	}
	if len(f.racks[rack]) != len(f.racks[other]) {
		return len(f.racks[rack]) > len(f.racks[other])
	}
	if pool.rackSlots[rack] != pool.rackSlots[other] {
		return pool.rackSlots[rack] < pool.rackSlots[other]
	}
	return pool.zoneSlots[f.locations[rack].zone] < pool.zoneSlots[f.locations[other].zone]
}

// rackSlotLimit returns how many slots a pool's fullest rack has if the pool's
// boxes are spread evenly over all racks. The pool wants more slots in total only if
// one rack has more than that, because wantedSlots adds those of the fullest rack.
func (p *planner) rackSlotLimit(pool *poolCount) int {
	racks := 0
	for rack := range p.free.racks {
		if len(p.free.racks[rack]) > 0 || pool.rackSlots[rack] > 0 {
			racks++
		}
	}
	boxSlots := p.maxBoxSlots(pool)
	wanted := p.state.Table().NeededSlots(pool.name) + p.reserveSlots(pool)
	return boxSlots * fullestRackBoxes((wanted+boxSlots-1)/boxSlots, racks)
}

// fullestRackBoxes returns the number of boxes in the fullest rack of a pool whose
// boxes are spread evenly over a number of racks. boxesLeft is the number of boxes
// that the pool must have left if that rack fails.
func fullestRackBoxes(boxesLeft, racks int) int {
	most := 1
	for most*racks < boxesLeft+most && most <= boxesLeft {
		most++
	}
	return most
}
