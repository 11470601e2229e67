package boxplan

import (
	"fmt"
	"time"

	"damsonwinch"
)

// SetEvacuatedZones sets since when the operator has wanted no task to start in an availability zone, for each
// evacuated zone. Their boxes serve no cell and are moved to none, but they may be powered off and maintained.
func (p *Planner) SetEvacuatedZones(since map[string]time.Time) {
	p.evacuatedZones = since
}

// BoxesInEvacuatedZones returns the numbers of boxes in evacuated zones that are not powered off, by zone and by
// the name of the cell to which they belong.
func (p *Planner) BoxesInEvacuatedZones() map[string]map[string]int {
	counts := make(map[string]map[string]int, len(p.evacuatedZones))
	if len(p.evacuatedZones) == 0 {
		return counts
	}
	for _, b := range p.boxesByName {
		if !p.isEvacuated(b) || p.isPoweredOff(b.info.Pool) || b.info.State != damsonwinch.BoxUp {
			continue
		}
		if counts[b.info.Zone] == nil {
			counts[b.info.Zone] = map[string]int{}
		}
		counts[b.info.Zone][b.cellName()]++
	}
	return counts
}

// updatePlansForEvacuations drops planned moves that an evacuation, or its end, has made useless: those of
// boxes in evacuated zones to other cells, and those to power boxes off whose zones are used again. The
// endpoints are restored. In an evacuated zone they can then be used at once when the zone is taken back.
func (p *Planner) updatePlansForEvacuations() {
	for _, b := range p.boxesByName {
		if b.planned == nil || b.planned.wave != 0 {
			continue
		}
		evacuated, poweringOff := p.isEvacuated(b), p.isPoweredOff(b.planned.pool)
		if evacuated && !poweringOff || !evacuated && b.planned.evacuation {
			b.planned = nil
		}
	}
}

// powerOffEvacuatedZones starts to power off the boxes of zones that have been evacuated for
// EvacuationPowerOffDelay, as far as nothing runs there. When the zone is taken back, they are powered-off boxes
// like others, of which each cell gets as many as it needs.
func (p *Planner) powerOffEvacuatedZones() {
	poweredOff, exists := p.poweredOffPool()
	if !exists || p.controlIsAway() || p.options.EvacuationPowerOffDelay == 0 || len(p.evacuatedZones) == 0 {
		return
	}
	for _, b := range p.boxesByName {
		evacuatedFor := p.now.Sub(p.evacuatedZones[b.info.Zone])
		if !p.isEvacuated(b) || evacuatedFor < p.options.EvacuationPowerOffDelay || p.isPoweredOff(b.info.Pool) || b.refusedPools[poweredOff] || !p.isIdle(b) {
			continue
		}
		p.startWithdrawal(b, plannedOrder{pool: poweredOff, shard: b.shard, evacuation: true, cause: fmt.Sprintf("zone %s has been evacuated for %d s", b.info.Zone, int(evacuatedFor.Seconds()))})
	}
}

// isIdle reports whether the planner may plan an order on a box, and nothing runs there by the report of its
// cell.
func (p *Planner) isIdle(b *box) bool {
	return p.isAvailable(b) && b.report != nil && !b.report.Silent && b.report.Runs == 0 && b.report.EmptyMs == 0 && b.report.Lasting == 0
}

// isEvacuated reports whether a box is in an evacuated zone.
func (p *Planner) isEvacuated(b *box) bool {
	_, evacuated := p.evacuatedZones[b.info.Zone]
	return evacuated
}
