package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxneed"
)

// missingBoxes returns how many boxes the cell needs beside its usable ones because none of those can
// take some of its long-running tasks that are ready or have to leave an evacuated zone, even once their
// short tasks have ended. Where endpoints have only obstacles that a further box may have as well, as when a whole
// pool refuses starts, it asks for one box at a time.
func (c *Cell) missingBoxes() int {
	phases, rows := c.waitingForBoxes()
	if len(phases) == 0 {
		return 0
	}
	certain := c.countMissing(phases, func(e *endpoint) *boxneed.Box {
		if c.longRunningObstacle(e).lasts() {
			return nil
		}
		return c.hostingBox(e, rows)
	})
	likely := c.countMissing(phases, func(e *endpoint) *boxneed.Box {
		if !c.mayHostLongRunning(e) {
			return nil
		}
		return c.withPermits(c.hostingBox(e, rows), e, rows)
	})
	return min(likely, certain+1)
}

// countMissing returns how many boxes are missing beside those that boxOf returns for the cell's endpoints. boxOf
// returns nil for an endpoint that doesn't count.
func (c *Cell) countMissing(phases []*boxneed.Phase, boxOf func(e *endpoint) *boxneed.Box) int {
	var boxes []*boxneed.Box
	var capacities []damsonwinch.Resources
	for _, e := range c.sortedEndpoints {
		capacities = append(capacities, e.info.Capacity)
		if b := boxOf(e); b != nil {
			boxes = append(boxes, b)
		}
	}
	return boxneed.Missing(phases, boxes, capacities)
}

// waitingForBoxes returns the phases with long-running tasks that a box with enough capacity could take, in
// order and by phase. Tasks that need a label are left out, since another box need not have it.
func (c *Cell) waitingForBoxes() (phases []*boxneed.Phase, rows map[*phase]*boxneed.Phase) {
	rows = map[*phase]*boxneed.Phase{}
	add := func(p *phase, count int) {
		if p.spec.Label != "" || count == 0 {
			return
		}
		if rows[p] == nil {
			rows[p] = &boxneed.Phase{Need: p.need(), MaxPerBox: p.spec.MostPerBox}
			phases = append(phases, rows[p])
		}
		rows[p].Waiting += count
	}
	for _, p := range c.openPhases {
		if p.spec.Lasting && !c.waitsForAllowance(p) {
			add(p, len(p.ready))
		}
	}
	for _, t := range c.longRunningInEvacuatedZones() {
		// Without a box that can take it, the task would stay in the zone however long it lasts.
		add(t.phase, 1)
	}
	return phases, rows
}

// maxShortTaskWait is how long a long-running task waits at most for the short tasks on an endpoint. With the time until
// an endpoint is reserved it is less than the 6 s within which users expect such a task to run again.
const maxShortTaskWait = 4 * time.Second

// hostingBox returns what the endpoint's box has for long-running tasks, and how many tasks of the given phases are
// there.
func (c *Cell) hostingBox(e *endpoint, phases map[*phase]*boxneed.Phase) *boxneed.Box {
	b := &boxneed.Box{Free: e.info.Capacity.Minus(e.longRunningNeed()), Counts: map[*boxneed.Phase]int{}}
	if c.shortRunsEndMs(e) > int(maxShortTaskWait.Milliseconds()) {
		b.Free = e.free()
	}
	for _, r := range e.runsByStart {
		if p := phases[r.task.phase]; p != nil {
			b.Counts[p]++
		}
	}
	return b
}

// withPermits notes in an endpoint's box which phases the advice service doesn't permit there, and returns the box.
func (c *Cell) withPermits(b *boxneed.Box, e *endpoint, phases map[*phase]*boxneed.Phase) *boxneed.Box {
	b.Barred = map[*boxneed.Phase]bool{}
	for p, row := range phases {
		if c.needsPermit(p) && p.permits.Refused(e.info.Life.ID) {
			b.Barred[row] = true
		}
	}
	return b
}
