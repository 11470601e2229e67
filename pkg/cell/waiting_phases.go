package cell

import "damsonwinch/pkg/boxneed"

// waitingPhases counts long-running tasks that need a place on a usable endpoint, by phase.
type waitingPhases struct {
	// rows are in the order in which the phases were added. They count the tasks for which a further box is asked
	// for if they have no place.
	rows    []*boxneed.Phase
	byPhase map[*phase]*boxneed.Phase
	// staying counts the others, which only need the boxes that the cell has: tasks with a label, since another box
	// need not have it, and tasks that may lose their endpoint but still run there.
	staying map[*boxneed.Phase]int
}

// row returns the row of a phase, and adds one if there is none yet.
func (w *waitingPhases) row(p *phase) *boxneed.Phase {
	if w.byPhase[p] == nil {
		w.byPhase[p] = &boxneed.Phase{Need: p.need(), MaxPerBox: p.spec.MostPerBox}
		w.rows = append(w.rows, w.byPhase[p])
	}
	return w.byPhase[p]
}

// add adds tasks of a phase that have to be started somewhere.
func (w *waitingPhases) add(p *phase, count int) {
	switch row := w.row(p); {
	case p.spec.Label != "":
		w.staying[row] += count
	default:
		row.Waiting += count
	}
}

// waitingForBoxes returns the long-running tasks that need a place on a usable endpoint.
func (c *Cell) waitingForBoxes() *waitingPhases {
	waiting := &waitingPhases{byPhase: map[*phase]*boxneed.Phase{}, staying: map[*boxneed.Phase]int{}}
	for _, p := range c.openPhases {
		if p.spec.Lasting && len(p.ready) > 0 && !c.waitsForAllowance(p) {
			waiting.add(p, len(p.ready))
		}
	}
	for _, t := range c.longRunningInEvacuatedZones() {
		// Without a box that can take it, the task would stay in the zone however long it lasts.
		waiting.add(t.phase, 1)
	}
	c.addUnsafeTasks(waiting)
	return waiting
}

// addUnsafeTasks adds the long-running tasks that run only on endpoints out of use, apart from those in evacuated
// zones: they have to be moved, or start elsewhere once their runs are lost.
func (c *Cell) addUnsafeTasks(waiting *waitingPhases) {
	for _, e := range c.sortedEndpoints {
		if e.usable() || e.zone.evacuated {
			continue
		}
		for _, r := range e.runsByStart {
			t := r.task
			if t.phase.spec.Lasting && !t.ready && t.runs[0] == r && !t.runsOnUsable() && r.mayLeave() {
				waiting.staying[waiting.row(t.phase)]++
			}
		}
	}
}

// runsOnUsable reports whether an attempt at the task is on an endpoint that may get new work.
func (t *task) runsOnUsable() bool {
	for _, r := range t.runs {
		if r.endpoint.usable() {
			return true
		}
	}
	return false
}

// mayLeave reports whether a long-running task may continue elsewhere: one that may not be interrupted stays on an
// endpoint that is to be withdrawn until it ends.
func (r *run) mayLeave() bool {
	return !r.endpoint.withdrawal.requested || r.endpoint.silent || r.task.phase.spec.AwayAtMost > 0
}
