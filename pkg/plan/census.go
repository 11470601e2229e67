package plan

import (
	"slices"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// census counts what a pool has, will have and can't count on.
type census struct {
	name  string
	boxes []fold.Box
	// slots counts boxes that serve or will again without another move, racks
	// and halls the same by their numbers.
	slots  int
	racks  []int
	halls  []int
	worst  int // The most slots in one rack.
	broken []fold.Box
	absent []fold.Box // In maintenance for too long.
}

func (c *census) add(box fold.Box, at place) {
	c.slots += box.Info.Slots
	c.racks[at.rack] += box.Info.Slots
	c.halls[at.hall] += box.Info.Slots
	c.worst = max(c.worst, c.racks[at.rack])
}

func (c *census) remove(box fold.Box, at place) {
	c.slots -= box.Info.Slots
	c.racks[at.rack] -= box.Info.Slots
	c.halls[at.hall] -= box.Info.Slots
	c.worst = slices.Max(c.racks)
}

// place is a box's rack and hall by their numbers.
type place struct {
	rack int
	hall int
}

// atlas numbers racks and halls, so that the planner compares numbers in place of
// names.
type atlas struct {
	racks map[rackName]place
	halls map[string]int
}

type rackName struct {
	hall string
	rack string
}

func newAtlas(boxes []fold.Box) atlas {
	a := atlas{racks: map[rackName]place{}, halls: map[string]int{}}
	for _, box := range boxes {
		name := rackName{box.Info.Hall, box.Info.Rack}
		if _, known := a.racks[name]; known {
			continue
		}
		if _, known := a.halls[name.hall]; !known {
			a.halls[name.hall] = len(a.halls)
		}
		a.racks[name] = place{rack: len(a.racks), hall: a.halls[name.hall]}
	}
	return a
}

func (a atlas) place(box fold.Box) place {
	return a.racks[rackName{box.Info.Hall, box.Info.Rack}]
}

// count takes the census of every pool and shelves the free boxes.
func (p *planner) count() {
	p.boxes = p.state.Boxes()
	p.atlas = newAtlas(p.boxes)
	p.census = map[string]*census{}
	p.free = newShelf(len(p.atlas.racks))
	for _, pool := range p.measures().Pools {
		p.pool(pool)
	}
	for _, box := range p.boxes {
		p.countBox(box)
	}
}

func (p *planner) countBox(box fold.Box) {
	at := p.atlas.place(box)
	if box.Pool == fold.FreePool {
		if box.Phase == fold.Serving && box.Health == wire.HealthUp {
			p.free.put(box, at)
		}
		return
	}
	home := p.pool(box.Pool)
	if p.broken(box) {
		home.broken = append(home.broken, box)
		return
	}
	if box.Phase == fold.Maintenance && p.since(box.EpochStartedAt) > p.options.MaintenanceTimeout {
		home.absent = append(home.absent, box)
		return
	}
	if box.Phase == fold.Draining && box.Target != box.Pool {
		if box.Target != fold.FreePool {
			p.pool(box.Target).add(box, at)
		}
		return
	}
	home.add(box, at)
	if box.Phase == fold.Serving {
		home.boxes = append(home.boxes, box)
	}
}

func (p *planner) pool(name string) *census {
	if p.census[name] == nil {
		p.census[name] = &census{name: name, racks: make([]int, len(p.atlas.racks)), halls: make([]int, len(p.atlas.halls))}
	}
	return p.census[name]
}

// broken says whether a box has been away for so long that it is replaced.
func (p *planner) broken(box fold.Box) bool {
	if box.Phase == fold.Maintenance || box.Health == wire.HealthUp {
		return false
	}
	return box.Health != wire.HealthDown || p.since(box.HealthChangedAt) >= p.options.DownTimeout
}

// poolNames returns the counted pools in order.
func (p *planner) poolNames() []string {
	names := make([]string, 0, len(p.census))
	for name := range p.census {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
