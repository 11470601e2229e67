package fleetstate

import (
	"slices"
	"strings"
)

// Pool summarizes the boxes of one pool.
type Pool struct {
	// Boxes counts all boxes of the pool.
	Boxes int `json:"boxes"`
	// Down counts the boxes that are not usable. A box of the free pool needs no
	// sender to count as usable.
	Down int `json:"down"`
	// Slots counts the slots of the boxes that are not down.
	Slots int    `json:"slots"`
	racks []rack // Sorted by name.
}

// rack counts the slots of a pool's boxes in one rack, without boxes that are
// down.
type rack struct {
	name  string
	slots int
}

// MaxRackSlots returns the slots of the rack that has the most: what the pool
// loses at worst if one rack fails.
func (p Pool) MaxRackSlots() int {
	return p.maxRackSlotsWithout(Box{})
}

// maxRackSlotsWithout returns what MaxRackSlots would return if the pool didn't
// have the given box.
func (p Pool) maxRackSlotsWithout(box Box) int {
	most := 0
	for _, rack := range p.racks {
		slots := rack.slots
		if rack.name == rackKey(box) {
			slots -= box.Info.Slots
		}
		most = max(most, slots)
	}
	return most
}

// rackKey returns a name for the box's rack that is unique in all zones.
func rackKey(box Box) string {
	return box.Info.Hall + "/" + box.Info.Rack
}

// with returns the summary with a box added.
func (p Pool) with(box Box) Pool {
	return p.adjusted(box, 1)
}

// without returns the summary with a box removed.
func (p Pool) without(box Box) Pool {
	return p.adjusted(box, -1)
}

// adjusted returns the summary with a box added (sign 1) or removed (sign -1).
func (p Pool) adjusted(box Box, sign int) Pool {
	p.Boxes += sign
	if !box.isAvailable() {
		p.Down += sign
		return p
	}
	p.Slots += sign * box.Info.Slots
	p.racks = withRackSlots(p.racks, rackKey(box), sign*box.Info.Slots)
	return p
}

// withRackSlots returns a copy of the racks with a number of slots, which may be
// negative, added to one of them. Racks without slots are left out.
func withRackSlots(racks []rack, name string, delta int) []rack {
	i, known := slices.BinarySearchFunc(racks, name, func(r rack, name string) int {
		return strings.Compare(r.name, name)
	})
	if !known {
		grown := make([]rack, 0, len(racks)+1)
		grown = append(grown, racks[:i]...)
		grown = append(grown, rack{name: name, slots: delta})
		return append(grown, racks[i:]...)
	}
	changed := slices.Clone(racks)
	changed[i].slots += delta
	if changed[i].slots == 0 {
		return slices.Delete(changed, i, i+1)
	}
	return changed
}
