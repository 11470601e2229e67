package fold

import (
	"slices"
	"strings"
)

// Pool sums up the boxes of one pool.
type Pool struct {
	// Boxes counts all boxes in the pool, Down those that are not usable.
	Boxes int `json:"boxes"`
	Down  int `json:"down"`
	// Slots counts the slots of usable boxes.
	Slots int `json:"slots"`
	racks []rack
}

// rack counts the usable slots that a pool has in one rack.
type rack struct {
	name  string
	slots int
}

// MaxRackSlots returns the most usable slots that the loss of one rack takes.
func (p Pool) MaxRackSlots() int {
	return p.worstWithout(Box{})
}

// worstWithout returns the worst rack after the loss of one box.
func (p Pool) worstWithout(box Box) int {
	worst := 0
	for _, rack := range p.racks {
		slots := rack.slots
		if rack.name == rackKey(box) {
			slots -= box.Info.Slots
		}
		worst = max(worst, slots)
	}
	return worst
}

// rackKey names a rack across halls.
func rackKey(box Box) string {
	return box.Info.Hall + "/" + box.Info.Rack
}

func (p Pool) with(box Box) Pool {
	return p.changed(box, 1)
}

func (p Pool) without(box Box) Pool {
	return p.changed(box, -1)
}

func (p Pool) changed(box Box, sign int) Pool {
	p.Boxes += sign
	if !box.counts() {
		p.Down += sign
		return p
	}
	p.Slots += sign * box.Info.Slots
	p.racks = withRack(p.racks, rackKey(box), sign*box.Info.Slots)
	return p
}

// withRack returns a copy of the racks, in order of their names.
func withRack(racks []rack, name string, slots int) []rack {
	at, known := slices.BinarySearchFunc(racks, name, func(r rack, name string) int {
		return strings.Compare(r.name, name)
	})
	if !known {
		grown := make([]rack, 0, len(racks)+1)
		grown = append(grown, racks[:at]...)
		grown = append(grown, rack{name: name, slots: slots})
		return append(grown, racks[at:]...)
	}
	changed := slices.Clone(racks)
	changed[at].slots += slots
	if changed[at].slots == 0 {
		return slices.Delete(changed, at, at+1)
	}
	return changed
}
