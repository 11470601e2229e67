package plan

import (
	"slices"
	"strings"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// census counts what a pool has, will have and can't count on.
type census struct {
	name  string
	boxes []fold.Box
	// slots counts boxes that serve or will again without another move.
	slots  int
	racks  map[string]int
	halls  map[string]int
	broken []fold.Box
	absent []fold.Box // In maintenance for too long.
}

func newCensus(name string) *census {
	return &census{name: name, racks: map[string]int{}, halls: map[string]int{}}
}

func (c *census) add(box fold.Box) {
	c.slots += box.Info.Slots
	c.racks[rackOf(box)] += box.Info.Slots
	c.halls[box.Info.Hall] += box.Info.Slots
}

func (c *census) remove(box fold.Box) {
	c.slots -= box.Info.Slots
	c.racks[rackOf(box)] -= box.Info.Slots
	c.halls[box.Info.Hall] -= box.Info.Slots
}

func (c *census) worstRack() int {
	worst := 0
	for _, slots := range c.racks {
		worst = max(worst, slots)
	}
	return worst
}

func rackOf(box fold.Box) string {
	return box.Info.Hall + "/" + box.Info.Rack
}

// count takes the census of every pool and shelves the free boxes.
func (p *planner) count() {
	p.census = map[string]*census{}
	p.free = newShelf()
	for _, pool := range p.measures().Pools {
		p.census[pool] = newCensus(pool)
	}
	for _, box := range p.state.Boxes() {
		p.countBox(box)
	}
}

func (p *planner) countBox(box fold.Box) {
	if box.Pool == fold.FreePool {
		if box.Phase == fold.Serving && box.Health == wire.HealthUp {
			p.free.put(box)
		}
		return
	}
	home := p.pool(box.Pool)
	if p.broken(box) {
		home.broken = append(home.broken, box)
		return
	}
	if box.Phase == fold.Maintenance && p.since(box.Since) > p.options.BackAfter {
		home.absent = append(home.absent, box)
		return
	}
	if box.Phase == fold.Draining && box.Target != box.Pool {
		if box.Target != fold.FreePool {
			p.pool(box.Target).add(box)
		}
		return
	}
	home.add(box)
	if box.Phase == fold.Serving {
		home.boxes = append(home.boxes, box)
	}
}

func (p *planner) pool(name string) *census {
	if p.census[name] == nil {
		p.census[name] = newCensus(name)
	}
	return p.census[name]
}

// broken says whether a box has been away for so long that it is replaced.
func (p *planner) broken(box fold.Box) bool {
	if box.Phase == fold.Maintenance || box.Health == wire.HealthUp {
		return false
	}
	return box.Health != wire.HealthDown || p.since(box.HealthAt) >= p.options.RepairAfter
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

// shelf holds free boxes by their racks.
type shelf struct {
	racks map[string][]fold.Box
	names []string
}

func newShelf() *shelf {
	return &shelf{racks: map[string][]fold.Box{}}
}

func (s *shelf) put(box fold.Box) {
	rack := rackOf(box)
	if _, known := s.racks[rack]; !known {
		at, _ := slices.BinarySearch(s.names, rack)
		s.names = slices.Insert(s.names, at, rack)
	}
	s.racks[rack] = append(s.racks[rack], box)
}

// take removes and returns the free box that spreads a pool best: from the rack
// and then the hall where the pool has least, and there the one that was
// maintained longest ago.
func (s *shelf) take(into *census) (fold.Box, bool) {
	best := ""
	for _, rack := range s.names {
		if len(s.racks[rack]) > 0 && (best == "" || into.prefers(rack, best)) {
			best = rack
		}
	}
	if best == "" {
		return fold.Box{}, false
	}
	boxes := s.racks[best]
	oldest := 0
	for i, box := range boxes {
		if box.MaintainedAt < boxes[oldest].MaintainedAt {
			oldest = i
		}
	}
	taken := boxes[oldest]
	s.racks[best] = slices.Delete(slices.Clone(boxes), oldest, oldest+1)
	return taken, true
}

func (c *census) prefers(rack, other string) bool {
	if c.racks[rack] != c.racks[other] {
		return c.racks[rack] < c.racks[other]
	}
	return c.halls[hallOf(rack)] < c.halls[hallOf(other)]
}

func hallOf(rack string) string {
	hall, _, _ := strings.Cut(rack, "/")
	return hall
}
