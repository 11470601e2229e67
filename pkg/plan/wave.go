package plan

import (
	"fmt"
	"slices"
	"strings"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// maintainDue proposes maintenance for boxes that are due, oldest first, as many
// at once as each pool's budget allows.
func (p *planner) maintainDue() {
	if absent := p.absent(); len(absent) >= mostHalted {
		p.wait("every wave is halted, these boxes did not come back: " + strings.Join(absent, ", "))
		return
	}
	p.maintainFree()
	for _, name := range p.poolNames() {
		p.maintainPool(p.census[name])
	}
}

func (p *planner) absent() []string {
	var names []string
	for _, pool := range p.poolNames() {
		for _, box := range p.census[pool].absent {
			names = append(names, box.Info.Name)
		}
	}
	return names
}

// maintainPool maintains what is due in one pool. A pool whose last box did not
// come back waits: what broke one box may break the next.
func (p *planner) maintainPool(pool *census) {
	due := p.dueIn(pool)
	if len(due) == 0 {
		return
	}
	if len(pool.absent) > 0 {
		p.wait(fmt.Sprintf("the wave in pool %s is halted, %s did not come back", pool.name, pool.absent[0].Info.Name))
		return
	}
	for i, box := range due {
		cause := fmt.Sprintf("maintenance: %s was last maintained at %d", box.Info.Name, box.MaintainedAt)
		if err := p.drain(box, pool.name, true, cause); err != nil {
			p.wait(fmt.Sprintf("%d boxes of pool %s wait for maintenance: %v", len(due)-i, pool.name, err))
			return
		}
	}
}

func (p *planner) dueIn(pool *census) []fold.Box {
	var due []fold.Box
	for _, box := range pool.boxes {
		if box.Usable() && p.due(box) {
			due = append(due, box)
		}
	}
	slices.SortStableFunc(due, func(a, b fold.Box) int { return a.MaintainedAt - b.MaintainedAt })
	return due
}

// Free boxes are the reserve for repairs: a part of them stays out of
// maintenance.
const (
	freeParts       = 4
	leastFreeAtOnce = 1
)

func (p *planner) maintainFree() {
	under := 0
	for _, box := range p.boxes {
		if box.Pool == fold.FreePool && box.Phase == fold.Maintenance {
			under++
		}
	}
	most := max(leastFreeAtOnce, p.free.count/freeParts)
	for _, boxes := range p.free.racks {
		for _, box := range boxes {
			if under >= most {
				return
			}
			if box.Health == wire.HealthUp && p.due(box) && p.drain(box, fold.FreePool, true, "maintenance of a free box") == nil {
				under++
			}
		}
	}
}
