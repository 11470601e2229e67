package plan

import (
	"fmt"
	"slices"
	"strings"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// maintainDueBoxes proposes maintenance for the boxes that are due, as many at
// once as each pool's budget allows. If overdueBoxesToHalt boxes or more are
// overdue, it proposes none in any pool.
func (p *planner) maintainDueBoxes() {
	if overdue := p.overdueBoxes(); len(overdue) >= overdueBoxesToHalt {
		p.deferChange("every wave is halted, these boxes did not come back: " + strings.Join(overdue, ", "))
		return
	}
	p.maintainFreeBoxes()
	for _, name := range p.poolNames() {
		p.maintainPool(p.pools[name])
	}
}

// overdueBoxes returns the names of the boxes in all pools that have been in
// maintenance for longer than the timeout.
func (p *planner) overdueBoxes() []string {
	var names []string
	for _, pool := range p.poolNames() {
		for _, box := range p.pools[pool].overdue {
			names = append(names, box.Info.Name)
		}
	}
	return names
}

// maintainPool proposes maintenance for the due boxes of one pool, unless a box of
// the pool is overdue: what broke that box may break the next.
func (p *planner) maintainPool(pool *poolCount) {
	due := p.dueBoxes(pool)
	if len(due) == 0 {
		return
	}
	if len(pool.overdue) > 0 {
		p.deferChange(fmt.Sprintf("the wave in pool %s is halted, %s did not come back", pool.name, pool.overdue[0].Info.Name))
		return
	}
	for i, box := range due {
		cause := fmt.Sprintf("maintenance: %s was last maintained at %d", box.Info.Name, box.MaintainedAt)
		if err := p.proposeDrain(box, pool.name, true, cause); err != nil {
			p.deferChange(fmt.Sprintf("%d boxes of pool %s wait for maintenance: %v", len(due)-i, pool.name, err))
			return
		}
	}
}

// dueBoxes returns the usable boxes of a pool that are due for maintenance, in
// order of their last maintenance, oldest first.
func (p *planner) dueBoxes(pool *poolCount) []fleetstate.Box {
	var due []fleetstate.Box
	for _, box := range pool.serving {
		if box.Usable() && p.isMaintenanceDue(box) {
			due = append(due, box)
		}
	}
	slices.SortStableFunc(due, func(a, b fleetstate.Box) int { return a.MaintainedAt - b.MaintainedAt })
	return due
}

// Free boxes are the reserve from which broken boxes are replaced, so most of them
// stay out of maintenance.
const (
	freePerMaintenance   = 4 // One in this many free boxes may be in maintenance.
	minFreeInMaintenance = 1 // This many may be, however few are free.
)

// maintainFreeBoxes proposes maintenance for free boxes that are due.
func (p *planner) maintainFreeBoxes() {
	inMaintenance := 0
	for _, box := range p.boxes {
		if box.Pool == fleetstate.FreePool && box.Phase == fleetstate.Maintenance {
			inMaintenance++
		}
	}
	limit := max(minFreeInMaintenance, p.free.count/freePerMaintenance)
	for _, boxes := range p.free.racks {
		for _, box := range boxes {
			if inMaintenance >= limit {
				return
			}
			if box.Health == wire.HealthUp && p.isMaintenanceDue(box) && p.proposeDrain(box, fleetstate.FreePool, true, "maintenance of a free box") == nil {
				inMaintenance++
			}
		}
	}
}
