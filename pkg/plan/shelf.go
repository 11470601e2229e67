package plan

import (
	"slices"

	"damsonwinch/pkg/fold"
)

// shelf holds free boxes by their racks.
type shelf struct {
	racks  [][]fold.Box
	places []place
	count  int
}

func newShelf(racks int) *shelf {
	return &shelf{racks: make([][]fold.Box, racks), places: make([]place, racks)}
}

func (s *shelf) put(box fold.Box, at place) {
	s.racks[at.rack] = append(s.racks[at.rack], box)
	s.places[at.rack] = at
	s.count++
}

// take removes and returns the free box that suits a pool best, and there the one
// that was maintained longest ago. Level is the number of slots that the pool may
// have in one rack without wanting more boxes for it.
func (s *shelf) take(into *census, level int) (fold.Box, place, bool) {
	best := -1
	for rack := range s.racks {
		if len(s.racks[rack]) > 0 && (best < 0 || s.better(into, level, rack, best)) {
			best = rack
		}
	}
	if best < 0 {
		return fold.Box{}, place{}, false
	}
	boxes := s.racks[best]
	oldest := 0
	for i := range boxes {
		if boxes[i].MaintainedAt < boxes[oldest].MaintainedAt {
			oldest = i
		}
	}
	taken := boxes[oldest]
	s.racks[best] = slices.Delete(boxes, oldest, oldest+1)
	s.count--
	return taken, s.places[best], true
}

// better says whether one rack suits a pool better than another. Within the level
// racks are alike to the pool, and it takes from those with most free boxes, so
// that the racks with few are left to pools that can't do without them. Past the
// level it takes from where it has least.
func (s *shelf) better(into *census, level, rack, other int) bool {
	within, otherWithin := into.racks[rack] < level, into.racks[other] < level
	if within != otherWithin {
		return within
	}
	if !within && into.racks[rack] != into.racks[other] {
		return into.racks[rack] < into.racks[other]
	}
	if len(s.racks[rack]) != len(s.racks[other]) {
		return len(s.racks[rack]) > len(s.racks[other])
	}
	if into.racks[rack] != into.racks[other] {
		return into.racks[rack] < into.racks[other]
	}
	return into.halls[s.places[rack].hall] < into.halls[s.places[other].hall]
}

// level returns the slots that a pool may have in one rack: with all racks used
// alike, the number of boxes that it wants can't do with fewer.
func (p *planner) level(pool *census) int {
	racks := 0
	for rack := range p.free.racks {
		if len(p.free.racks[rack]) > 0 || pool.racks[rack] > 0 {
			racks++
		}
	}
	size := p.boxSlots(pool)
	wanted := p.state.Table().NeededSlots(pool.name) + p.reserve(pool)
	return size * boxesInWorstRack((wanted+size-1)/size, racks)
}

// boxesInWorstRack returns how many boxes the fullest rack must hold when a pool
// keeps a number of boxes after its loss.
func boxesInWorstRack(kept, racks int) int {
	worst := 1
	for worst*racks < kept+worst && worst <= kept {
		worst++
	}
	return worst
}
