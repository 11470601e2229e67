package cell

import (
	"damsonwinch"
	"damsonwinch/pkg/boxneed"
)

// missingBoxes returns how many boxes the cell needs beside its usable ones because none of those can
// take some of its long-running tasks that are ready or have to leave an evacuated zone, even once their
// short tasks have ended.
func (c *Cell) missingBoxes() int {
	phases, rows := c.waitingForBoxes()
	if len(phases) == 0 {
		return 0
	}
	var boxes []*boxneed.Box
	var capacities []damsonwinch.Resources
	for _, e := range c.sortedEndpoints {
		capacities = append(capacities, e.info.Capacity)
		if c.mayHostLongRunning(e) {
			boxes = append(boxes, c.hostingBox(e, rows))
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

// hostingBox returns what the endpoint's box has for long-running tasks. It counts the tasks there of the
// given phases, and notes which phases the advice service doesn't permit there.
func (c *Cell) hostingBox(e *endpoint, phases map[*phase]*boxneed.Phase) *boxneed.Box {
	b := &boxneed.Box{Free: e.info.Capacity.Minus(e.longRunningNeed()), Counts: map[*boxneed.Phase]int{}, Barred: map[*boxneed.Phase]bool{}}
	for p, row := range phases {
		if c.needsPermit(p) && p.permits.Refused(e.info.Life.ID) {
			b.Barred[row] = true
		}
	}
	for _, r := range e.runsByStart {
		if p := phases[r.task.phase]; p != nil {
			b.Counts[p]++
		}
	}
	return b
}
