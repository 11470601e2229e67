package plan

import (
	"slices"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// poolCount holds the boxes of a pool, and the slots that it will have once all
// drains and maintenances that are under way have ended.
type poolCount struct {
	name    string
	serving []fleetstate.Box // Boxes that serve and are not broken.
	// slots counts the slots of all boxes that serve the pool or will do so without
	// another move.
	slots        int
	rackSlots    []int            // These slots by rack number.
	zoneSlots    []int            // These slots by zone number.
	maxRackSlots int              // The largest of rackSlots.
	broken       []fleetstate.Box // Boxes that are to be replaced; see isBroken.
	overdue      []fleetstate.Box // Boxes in maintenance for longer than the timeout.
}

// add adds a box's slots to the pool's.
func (c *poolCount) add(box fleetstate.Box, at location) {
	c.slots += box.Info.Slots
	c.rackSlots[at.rack] += box.Info.Slots
	c.zoneSlots[at.zone] += box.Info.Slots
	c.maxRackSlots = max(c.maxRackSlots, c.rackSlots[at.rack])
}

// remove subtracts a box's slots from the pool's.
func (c *poolCount) remove(box fleetstate.Box, at location) {
	c.slots -= box.Info.Slots
	c.rackSlots[at.rack] -= box.Info.Slots
	c.zoneSlots[at.zone] -= box.Info.Slots
	c.maxRackSlots = slices.Max(c.rackSlots)
}

// location holds the number of a box's rack and the number of its zone.
type location struct {
	rack int
	zone int
}

// locator numbers racks and zones from 0, so that the planner can compare numbers
// in place of names.
type locator struct {
	racks map[rackKey]location
	zones map[string]int
}

type rackKey struct {
	zone string
	rack string
}

// newLocator numbers the racks and zones of the given boxes.
func newLocator(boxes []fleetstate.Box) locator {
	l := locator{racks: map[rackKey]location{}, zones: map[string]int{}}
	for _, box := range boxes {
		key := rackKey{box.Info.Hall, box.Info.Rack}
		if _, known := l.racks[key]; known {
			continue
		}
		if _, known := l.zones[key.zone]; !known {
			l.zones[key.zone] = len(l.zones)
		}
		l.racks[key] = location{rack: len(l.racks), zone: l.zones[key.zone]}
	}
	return l
}

// locate returns the location of one of the boxes that the locator was made for.
func (l locator) locate(box fleetstate.Box) location {
	return l.racks[rackKey{box.Info.Hall, box.Info.Rack}]
}

// countBoxes counts the boxes of every pool and collects those that are free.
func (p *planner) countBoxes() {
	p.boxes = p.state.Boxes()
	p.locator = newLocator(p.boxes)
	p.pools = map[string]*poolCount{}
	p.free = newFreeBoxes(len(p.locator.racks))
	for _, pool := range p.deployment().Pools {
		p.pool(pool)
	}
	for _, box := range p.boxes {
		p.countBox(box)
	}
}

// countBox counts a box in the pool that it serves or, if it is being drained for
// a move, in its target pool. Boxes that are broken or overdue add no slots.
func (p *planner) countBox(box fleetstate.Box) {
	at := p.locator.locate(box)
	if box.Pool == fleetstate.FreePool {
		if box.Phase == fleetstate.Serving && box.Health == wire.HealthUp {
			p.free.add(box, at)
		}
		return
	}
	pool := p.pool(box.Pool)
	if p.isBroken(box) {
		pool.broken = append(pool.broken, box)
		return
	}
	if box.Phase == fleetstate.Maintenance && p.elapsedSince(box.EpochStartedAt) > p.options.MaintenanceTimeout {
		pool.overdue = append(pool.overdue, box)
		return
	}
	if box.Phase == fleetstate.Draining && box.Target != box.Pool {
		if box.Target != fleetstate.FreePool {
			p.pool(box.Target).add(box, at)
		}
		return
	}
	pool.add(box, at)
	if box.Phase == fleetstate.Serving {
		pool.serving = append(pool.serving, box)
	}
}

// pool returns the count of a pool, and adds an empty one if there is none.
func (p *planner) pool(name string) *poolCount {
	if p.pools[name] == nil {
		p.pools[name] = &poolCount{name: name, rackSlots: make([]int, len(p.locator.racks)), zoneSlots: make([]int, len(p.locator.zones))}
	}
	return p.pools[name]
}

// isBroken reports whether a box is to be replaced: it is leaving or gone, or has
// been down for as long as the timeout. A box in maintenance never is.
func (p *planner) isBroken(box fleetstate.Box) bool {
	if box.Phase == fleetstate.Maintenance || box.Health == wire.HealthUp {
		return false
	}
	return box.Health != wire.HealthDown || p.elapsedSince(box.HealthChangedAt) >= p.options.DownTimeout
}

// poolNames returns the names of the counted pools, sorted.
func (p *planner) poolNames() []string {
	names := make([]string, 0, len(p.pools))
	for name := range p.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
