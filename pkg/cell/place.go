package cell

import (
	"slices"

	"damsonwinch"
)

// place starts the tasks that are ready, as far as there is capacity. Suspects on probation come
// first. Then come the phases whose jobs can still meet their deadlines, the most urgent first,
// then the phases that are deferred in favour of those, then the late ones. Last come the phases of
// jobs that are over their customers' shares.
func (c *Cell) place() {
	if len(c.openPhases) == 0 || !c.placementDue || !c.evacuationsKnown() {
		return
	}
	c.placementDue = false
	c.updateCrashProne()
	c.quotaWaits.BeginPlacement()
	c.placeReserved()
	c.placeSuspects()
	groups := c.phasesInOrder()
	var unplaceable []damsonwinch.Resources
	for _, phases := range groups {
		unplaceable = c.placePhases(phases, unplaceable)
	}
	c.noteSharesBegun(groups[len(groups)-1])
	c.awaitPermitTurn(c.openPhases...)
}

// phasesInOrder returns the open phases in the order in which they are placed: those in time, the deferred ones, the late
// ones, and those of jobs that are over their customers' shares.
func (c *Cell) phasesInOrder() [][]*phase {
	inTime := make([]*phase, 0, len(c.openPhases))
	var deferred, late, over []*phase
	nowMs := int(c.now.UnixMilli())
	for _, p := range c.openPhases {
		switch {
		case p.job().overShare:
			over = append(over, p)
		case p.isLate(nowMs):
			late = append(late, p)
		case p.deferred:
			deferred = append(deferred, p)
		default:
			inTime = append(inTime, p)
		}
	}
	sortByRank(over, nowMs)
	return [][]*phase{inTime, deferred, late, over}
}

// placePhases starts the tasks of phases, in order. unplaceable holds resource needs for which no
// endpoint has capacity: phases that need as much are skipped. placePhases returns unplaceable
// together with the needs for which it has found no capacity.
func (c *Cell) placePhases(phases []*phase, unplaceable []damsonwinch.Resources) []damsonwinch.Resources {
	for _, p := range phases {
		if exceedsAny(p, unplaceable) {
			continue
		}
		if p.spec.Gang {
			c.placeGang(p)
		} else if !c.placeTasks(p) && c.needsOnlyCapacity(p) {
			unplaceable = append(unplaceable, p.need())
		}
		if len(p.ready) == 0 && p.open {
			c.closePhase(p)
		}
	}
	return unplaceable
}

// exceedsAny reports whether a phase's tasks need at least as much as one of the needs for which no
// endpoint has capacity.
func exceedsAny(p *phase, unplaceable []damsonwinch.Resources) bool {
	need := p.need()
	for _, other := range unplaceable {
		if need.MilliCPU >= other.MilliCPU && need.MemoryMB >= other.MemoryMB && need.GPUs >= other.GPUs {
			return true
		}
	}
	return false
}

// needsOnlyCapacity reports whether a phase's tasks may run wherever there is capacity: they need
// no label and no permit, and there is no limit per box.
func (c *Cell) needsOnlyCapacity(p *phase) bool {
	return p.spec.Label == "" && p.spec.MostPerBox == 0 && !c.needsPermit(p)
}

// placeTasks starts a phase's ready tasks one by one. It returns false if there was no capacity for
// a task that may start.
func (c *Cell) placeTasks(p *phase) bool {
	waiting := p.ready
	p.ready = nil
	for i, t := range waiting {
		if c.mustWait(t) || c.awaitsProbation(t) {
			p.ready = append(p.ready, t)
			continue
		}
		if !c.withinQuota(p, 1) {
			p.ready = append(p.ready, waiting[i:]...)
			return true
		}
		e := c.chooseEndpoint(t, "")
		if e == nil {
			p.ready = append(p.ready, waiting[i:]...)
			return false
		}
		t.ready = false
		c.planRun(t, e)
	}
	return true
}

// canStart reports whether a task may be started on an endpoint now, by all rules: backoff,
// capacity, health, reservations, probations and permits.
func (c *Cell) canStart(t *task, e *endpoint) bool {
	return !c.mustWait(t) && c.canHost(t, e) && c.claimObstacle(t, e) == noObstacle
}

// canHost reports whether an endpoint has capacity for a task and may run it, apart from reservations,
// probations and permits.
func (c *Cell) canHost(t *task, e *endpoint) bool {
	// Most endpoints of a busy cell are full, so capacity is checked first.
	return e.free().Holds(t.phase.need()) && c.endpointObstacle(e) == noObstacle && c.taskObstacle(t, e) == noObstacle
}

// countOnEndpoint returns the number of a phase's runs on an endpoint, including the capacity
// reserved there while a gang is placed.
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

// Amounts that are added to the score of an endpoint for a task, in thousandths of a core of free
// capacity: for the preferred rack, for the endpoint that the task should avoid, and for one where
// a task has just failed, among others.
const (
	scoreRack  = 1_000_000
	scoreAvoid = -4_000_000
	// scoreRefused counts once for an endpoint that has refused the task before all others that have, and once more
	// for each that did so earlier. All others are tried first, and the refusing ones in turn.
	scoreRefused       = -10_000_000
	scoreRecentFailure = -2_000_000
	// scoreCold lets an endpoint that is still slow warm up with the work for which the others have
	// no capacity.
	scoreCold = -1_500_000
	// scoreInterference keeps serving and filler tasks apart while there is enough capacity.
	scoreInterference = -500_000
	// scoreUnanswered prefers endpoints that have answered all recent calls. It is below scoreRack: a task outside
	// its preferred rack takes up to three times as long, which costs more than a lost request.
	scoreUnanswered = -600_000
	// scoreMaintenanceDue keeps long-running tasks off boxes that still have to be maintained. Each
	// move takes some 1.5 s, and often only one task of a job may be moved at a time.
	scoreMaintenanceDue = -3_000_000
)

// score rates an endpoint for a task. The highest score wins, and endpoints with less free capacity
// are preferred.
func (c *Cell) score(t *task, e *endpoint) int {
	return c.preference(t, e) - e.free().MilliCPU
}

// preference rates an endpoint for a task without considering its free capacity.
func (c *Cell) preference(t *task, e *endpoint) int {
	score := t.refusalScore(e)
	if rack := t.phase.spec.Rack; rack != "" && slices.Contains(e.info.Labels, rack) {
		score += scoreRack
	}
	if t.avoid == e.info.Life {
		score += scoreAvoid
	}
	if e.health.consecutiveFailures > 0 {
		score += scoreRecentFailure
	}
	if e.calls.LostRecently(c.now) {
		score += scoreUnanswered
	}
	if e.info.Cold {
		score += scoreCold
	}
	if c.interferes(t.phase, e) {
		score += scoreInterference
	}
	if e.maintenanceDue && t.phase.spec.Lasting {
		score += scoreMaintenanceDue
	}
	return score
}
