package cell

import (
	"time"

	"damsonwinch"
)

// obstacle is a reason for which a task can't start on an endpoint. The zero value means that there is
// none.
type obstacle int

const (
	noObstacle obstacle = iota
	// Obstacles to all tasks that can be expected to last, see endpointObstacle.
	obstacleExited
	obstacleWithdrawn
	obstacleDraining
	obstacleEvacuated
	obstacleUnreached
	obstacleSilent
	obstacleCutOff
	obstacleEjected
	// Obstacles to all tasks that mostly end within fractions of a second.
	obstacleUnattached
	obstacleOverdue
	obstacleSuspected
	obstacleCapacityUnknown
	obstacleStrayRuns
	obstacleProbing
	obstacleBackoff
	// Obstacles to the tasks of some phases, see taskObstacle.
	obstacleRefusing
	obstacleLabel
	obstacleCPU
	obstacleMemory
	obstacleGPUs
	obstacleSameTask
	obstacleCold
	obstacleMostPerBox
	// Obstacles that come from what other tasks wait for and from permits, see claimObstacle.
	obstacleReserved
	obstacleProbation
	obstaclePermit
)

// obstacleNames describes obstacles in explanations, as predicates: "3 endpoints lack memory".
var obstacleNames = map[obstacle]string{
	noObstacle:              "could take it",
	obstacleExited:          "have ended",
	obstacleUnreached:       "have not answered yet",
	obstacleUnattached:      "have not answered yet",
	obstacleSilent:          "do not answer",
	obstacleCutOff:          "have not answered for longer than usual, as yet",
	obstacleOverdue:         "have not answered for longer than usual, as yet",
	obstacleSuspected:       "leave many calls unanswered",
	obstacleWithdrawn:       "are being withdrawn",
	obstacleDraining:        "drain",
	obstacleEvacuated:       "are in an evacuated zone",
	obstacleCapacityUnknown: "have not said for too long how much room they have",
	obstacleStrayRuns:       "have runs that should not be there",
	obstacleEjected:         "are ejected as unhealthy",
	obstacleProbing:         "are unhealthy and probed with another task",
	obstacleBackoff:         "are unhealthy",
	obstacleRefusing:        "refuse starts",
	obstacleLabel:           "lack the label",
	obstacleCPU:             "lack CPU",
	obstacleMemory:          "lack memory",
	obstacleGPUs:            "lack GPUs",
	obstacleSameTask:        "run another attempt at it",
	obstacleCold:            "are cold after the evacuation of their zone",
	obstacleMostPerBox:      "have enough tasks of this phase",
	obstacleReserved:        "are reserved for a long-running task",
	obstacleProbation:       "have just started something that may crash them, or are reserved for it",
	obstaclePermit:          "have no permit",
}

// findObstacle returns the first reason for which a task can't start on an endpoint now. The task's own
// back-off is not considered, see mustWait.
func (c *Cell) findObstacle(t *task, e *endpoint) obstacle {
	if found := c.endpointObstacle(e); found != noObstacle {
		return found
	}
	if found := c.taskObstacle(t, e); found != noObstacle {
		return found
	}
	return c.claimObstacle(t, e)
}

// endpointObstacle returns the reason for which no task can start on an endpoint now. Of several it returns
// one that lasts.
func (c *Cell) endpointObstacle(e *endpoint) obstacle {
	switch {
	case !e.listed, e.exited:
		return obstacleExited
	case e.withdrawn, e.withdrawal.requested:
		return obstacleWithdrawn
	case e.info.Draining:
		return obstacleDraining
	case e.zone.evacuated:
		return obstacleEvacuated
	case !e.attached && e.silent:
		return obstacleUnreached
	case e.silent:
		return obstacleSilent
	case e.zone.isCutOff(c.now):
		return obstacleCutOff
	case c.now.Before(e.health.ejectedUntil):
		return obstacleEjected
	case !e.attached:
		return obstacleUnattached
	case e.overdue, e.zone.mayBeCutOff():
		return obstacleOverdue
	case e.suspected:
		return obstacleSuspected
	case !c.capacityKnown(e):
		return obstacleCapacityUnknown
	case e.strayRuns > 0:
		return obstacleStrayRuns
	case !c.healthAllows(e):
		return obstacleProbing
	case c.now.Before(e.backoffUntil):
		return obstacleBackoff
	}
	return noObstacle
}

// taskObstacle returns the reason for which an endpoint can't take a task, apart from what other tasks wait
// for and from permits.
func (c *Cell) taskObstacle(t *task, e *endpoint) obstacle {
	p := t.phase
	switch {
	case p.spec.Lasting && c.refusesStarts(e):
		return obstacleRefusing
	case !e.hasLabel(p.spec.Label):
		return obstacleLabel
	case !e.free().Holds(p.need()):
		return lackingResource(e.free(), p.need())
	case t.runsOn(e):
		return obstacleSameTask
	case !c.allowsWhileCold(p, e):
		return obstacleCold
	case p.spec.MostPerBox > 0 && countOnEndpoint(p, e) >= p.spec.MostPerBox:
		return obstacleMostPerBox
	}
	return noObstacle
}

// claimObstacle returns the reason for which a task may not start on an endpoint that could take it.
func (c *Cell) claimObstacle(t *task, e *endpoint) obstacle {
	switch {
	case !e.reservationAllows(t):
		return obstacleReserved
	case !c.probationAllows(t, e):
		return obstacleProbation
	case !c.hasPermit(t.phase, e):
		return obstaclePermit
	}
	return noObstacle
}

// lackingResource returns the obstacle that there is less free of a resource than a task needs.
func lackingResource(free, need damsonwinch.Resources) obstacle {
	switch {
	case free.MilliCPU < need.MilliCPU:
		return obstacleCPU
	case free.MemoryMB < need.MemoryMB:
		return obstacleMemory
	}
	return obstacleGPUs
}

// longRunningObstacle returns the reason for which no long-running task can start on an endpoint now, even
// if its short tasks had ended.
func (c *Cell) longRunningObstacle(e *endpoint) obstacle {
	found := c.endpointObstacle(e)
	switch {
	case found != noObstacle:
		return found
	case e.refusals.persist(c.now):
		// Tasks are still started there if refusals are common, but a box is asked for.
		return obstacleRefusing
	case e.probation != nil, e.reservedFor != nil:
		return obstacleProbation
	}
	return noObstacle
}

// lasts reports whether an endpoint with the obstacle isn't counted on from the beginning.
func (o obstacle) lasts() bool {
	return o >= obstacleExited && o <= obstacleEjected
}

const (
	// maxObstruction is how long an obstacle may last until the endpoint is no longer counted on for
	// long-running tasks, whatever the obstacle is. A task that waits longer is logged.
	maxObstruction = longWait
	// obstructionGap is the longest time without an obstacle that doesn't end an obstruction. Obstacles
	// that come with each short task follow each other with shorter gaps.
	obstructionGap = 500 * time.Millisecond
)

// obstruction is a time during which an endpoint has had obstacles to long-running tasks.
type obstruction struct {
	since time.Time
	// until is when an obstacle was last seen.
	until time.Time
}

// observe notes that there is an obstacle now.
func (o *obstruction) observe(now time.Time) {
	if now.Sub(o.until) > obstructionGap {
		o.since = now
	}
	o.until = now
}

// isLong reports whether obstacles have been seen for maxObstruction.
func (o *obstruction) isLong() bool {
	return o.until.Sub(o.since) >= maxObstruction
}

// updateObstructions notes which endpoints have an obstacle to long-running tasks, and whether so many refuse starts
// that another cause than the endpoints is likely.
func (c *Cell) updateObstructions() {
	refusing, usable := 0, 0
	for _, e := range c.sortedEndpoints {
		if !e.usable() {
			continue
		}
		usable++
		if e.refusals.persist(c.now) {
			refusing++
		}
	}
	c.refusalsAreCommon = refusing > 0 && !mayBeExcluded(refusing, usable)
	for _, e := range c.sortedEndpoints {
		if c.longRunningObstacle(e) != noObstacle {
			e.obstruction.observe(c.now)
		}
	}
}

// refusesStarts reports whether an endpoint has refused all its recent starts, while others accept them.
func (c *Cell) refusesStarts(e *endpoint) bool {
	return !c.refusalsAreCommon && e.refusals.persist(c.now)
}

// mayHostLongRunning reports whether an endpoint can be expected to start long-running tasks, now or soon.
func (c *Cell) mayHostLongRunning(e *endpoint) bool {
	found := c.longRunningObstacle(e)
	return found == noObstacle || !found.lasts() && !e.obstruction.isLong()
}
