package cell

import (
	"damsonwinch"
)

// hostingBox is what a box would have left for long-running tasks once its short tasks have ended.
type hostingBox struct {
	free damsonwinch.Resources
	// counts holds the number of tasks there by phase, for phases with a limit per box.
	counts map[*phase]int
}

// missingBoxes returns how many boxes the cell needs beside its usable ones because none of those can
// take some of its long-running tasks that are ready or have to leave an evacuated zone, even once their
// short tasks have ended. The sums of the CPU and memory that tasks need don't show that: the boxes may
// have enough in total, and none enough for one more task.
func (c *Cell) missingBoxes() int {
	waiting := c.waitingForBoxes()
	for _, t := range c.longRunningInEvacuatedZones() {
		// Without a box that can take it, the task would stay in the zone however long it lasts.
		if t.phase.spec.Label == "" {
			waiting = append(waiting, t)
		}
	}
	if len(waiting) == 0 {
		return 0
	}
	boxes := c.hostingBoxes()
	missing := 0
	for _, t := range waiting {
		if takeByAny(boxes, t.phase) {
			continue
		}
		capacity, exists := c.capacityFor(t.phase)
		if !exists {
			continue
		}
		added := &hostingBox{free: capacity, counts: map[*phase]int{}}
		added.take(t.phase)
		boxes = append(boxes, added)
		missing++
	}
	return missing
}

// waitingForBoxes returns the ready long-running tasks that a box with enough capacity could take. Tasks
// that need a label are left out, since another box need not have it.
func (c *Cell) waitingForBoxes() []*task {
	var waiting []*task
	for _, p := range c.openPhases {
		if p.spec.Lasting && p.spec.Label == "" && p.overQuotaSince.IsZero() {
			waiting = append(waiting, p.ready...)
		}
	}
	return waiting
}

// capacityFor returns the capacity of an endpoint of the cell that can hold a task of a phase if it runs
// nothing else, and whether there is one. Another box need be no larger than those.
func (c *Cell) capacityFor(p *phase) (damsonwinch.Resources, bool) {
	for _, e := range c.sortedEndpoints {
		if e.info.Capacity.Holds(p.need()) {
			return e.info.Capacity, true
		}
	}
	return damsonwinch.Resources{}, false
}

// hostingBoxes returns the boxes of the endpoints that can be expected to start long-running tasks.
func (c *Cell) hostingBoxes() []*hostingBox {
	var boxes []*hostingBox
	for _, e := range c.sortedEndpoints {
		if !c.mayHostLongRunning(e) {
			continue
		}
		b := &hostingBox{free: e.info.Capacity.Minus(e.longRunningNeed()), counts: map[*phase]int{}}
		for _, r := range e.runsByStart {
			b.counts[r.task.phase]++
		}
		boxes = append(boxes, b)
	}
	return boxes
}

// mayHostLongRunning reports whether an endpoint can be expected to start long-running tasks, now or as
// soon as it is attached.
func (c *Cell) mayHostLongRunning(e *endpoint) bool {
	isPresent := e.listed && !e.exited && !e.silent && !e.zone.isCutOff(c.now)
	isLeaving := e.withdrawn || e.withdrawal.requested || e.info.Draining || e.zone.evacuated
	return isPresent && !isLeaving && !c.now.Before(e.health.ejectedUntil)
}

// takeByAny has the first of the boxes that can take a task of a phase take it. It returns false if none
// can.
func takeByAny(boxes []*hostingBox, p *phase) bool {
	for _, b := range boxes {
		if b.free.Holds(p.need()) && (p.spec.MostPerBox == 0 || b.counts[p] < p.spec.MostPerBox) {
			b.take(p)
			return true
		}
	}
	return false
}

// take adds a task of a phase to the box.
func (b *hostingBox) take(p *phase) {
	b.free = b.free.Minus(p.need())
	b.counts[p]++
}
