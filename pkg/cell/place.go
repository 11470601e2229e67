package cell

import (
	"slices"

	"damsonwinch"
)

// place starts the tasks that may start, as far as there is room: those of jobs
// that can still be done in time first, and there the most urgent; then those that are
// put off for them.
func (c *Cell) place() {
	if len(c.openPhases) == 0 || !c.placementDue {
		return
	}
	c.placementDue = false
	c.updateCrashProne()
	clear(c.overQuota)
	clear(c.quotaBlocked)
	c.placeSuspects()
	inTime := make([]*phase, 0, len(c.openPhases))
	var deferred, late []*phase
	nowMs := int(c.now.UnixMilli())
	for _, p := range c.openPhases {
		switch {
		case p.isLate(nowMs):
			late = append(late, p)
		case p.deferred:
			deferred = append(deferred, p)
		default:
			inTime = append(inTime, p)
		}
	}
	full := c.placePhases(inTime, nil)
	full = c.placePhases(deferred, full)
	c.placePhases(late, full)
}

// placePhases places phases in order. Full are needs that found no room; it
// returns them with those that it met.
func (c *Cell) placePhases(phases []*phase, full []damsonwinch.Resources) []damsonwinch.Resources {
	for _, p := range phases {
		if exceedsAny(p, full) {
			continue
		}
		if p.spec.Gang {
			c.placeGang(p)
		} else if !c.placeTasks(p) && c.needsOnlyCapacity(p) {
			full = append(full, p.need())
		}
		c.requestPermits(p)
		if len(p.ready) == 0 && p.open {
			c.closePhase(p)
		}
	}
	return full
}

// exceedsAny says whether a phase's tasks need at least what already found no
// room, so that looking again is in vain.
func exceedsAny(p *phase, full []damsonwinch.Resources) bool {
	need := p.need()
	for _, missed := range full {
		if need.MilliCPU >= missed.MilliCPU && need.MemoryMB >= missed.MemoryMB && need.GPUs >= missed.GPUs {
			return true
		}
	}
	return false
}

// needsOnlyCapacity says that only room decides where a phase's tasks may run.
func (c *Cell) needsOnlyCapacity(p *phase) bool {
	return p.spec.Label == "" && p.spec.MostPerBox == 0 && !c.needsPermit(p)
}

// placeTasks places a phase's tasks one by one. It says whether there was room for all that may
// start.
func (c *Cell) placeTasks(p *phase) bool {
	waiting := p.ready
	p.ready = nil
	for at, t := range waiting {
		if c.mustWait(t) || t.suspected && !t.phase.spec.Gang && !c.probationWaitExpired(t) {
			p.ready = append(p.ready, t)
			continue
		}
		if !c.withinQuota(p, 1) {
			p.ready = append(p.ready, waiting[at:]...)
			return true
		}
		e := c.chooseEndpoint(t, "")
		if e == nil {
			p.ready = append(p.ready, waiting[at:]...)
			return false
		}
		t.ready = false
		c.planRun(t, e)
	}
	return true
}

// canStart says whether a task may be started at an endpoint now.
func (c *Cell) canStart(t *task, e *endpoint) bool {
	return !c.mustWait(t) && c.canHost(t, e) && c.probationAllows(t, e) && c.hasPermit(t.phase, e)
}

// canHost says whether an endpoint has room for a task and may run it, as far as
// no permit is needed.
func (c *Cell) canHost(t *task, e *endpoint) bool {
	p := t.phase
	// Most endpoints of a busy cell are full; that is found out first.
	if !e.free().Holds(p.need()) || !e.usable() || e.strayRuns > 0 || !c.capacityKnown(e) || e.overdue || e.zone.mayBeCutOff() || !c.healthAllows(e) || t.runsOn(e) || c.now.Before(e.backoffUntil) || !e.hasLabel(p.spec.Label) {
		return false
	}
	return p.spec.MostPerBox == 0 || countOnEndpoint(p, e) < p.spec.MostPerBox
}

// countOnEndpoint counts a phase's runs at an endpoint, with the places that are held
// there while a gang is placed.
func countOnEndpoint(p *phase, e *endpoint) int {
	count := p.gangReserved[e]
	for _, t := range p.tasks {
		for _, r := range t.runs {
			if r.endpoint == e {
				count++
			}
		}
	}
	return count
}

// Weights of a choice, in thousandths of a core of free room.
const (
	scoreRack          = 1_000_000
	scoreAvoid         = -4_000_000
	scoreRecentFailure = -2_000_000
	// scoreInterference keeps what serves and what fills apart while there is room.
	scoreInterference = -500_000
	// scoreMaintenanceDue keeps lasting tasks off boxes that are still to be maintained: each move
	// takes some 1.5 s, and of one job often only one task may be away.
	scoreMaintenanceDue = -3_000_000
)

func (c *Cell) score(t *task, e *endpoint) int {
	return c.preference(t, e) - e.free().MilliCPU
}

// preference is what speaks for an endpoint beside its room.
func (c *Cell) preference(t *task, e *endpoint) int {
	score := 0
	if rack := t.phase.spec.Rack; rack != "" && slices.Contains(e.info.Labels, rack) {
		score += scoreRack
	}
	if t.avoid == e.info.Life {
		score += scoreAvoid
	}
	if e.health.consecutiveFailures > 0 {
		score += scoreRecentFailure
	}
	if c.interferes(t.phase, e) {
		score += scoreInterference
	}
	if e.maintenanceDue && t.phase.spec.Lasting {
		score += scoreMaintenanceDue
	}
	return score
}
