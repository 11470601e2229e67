package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxneed"
)

// longRunningBoxes returns how many boxes the cell's long-running tasks need beside its usable ones, and which
// of its endpoints they need beside those where they run.
//
// Boxes are missing for tasks that are ready or have to leave an evacuated zone and that no usable box can take,
// even once its short tasks have ended. Where endpoints have only obstacles that a further box may have as well, as
// when a whole pool refuses starts, the cell asks for one box at a time. While no box is missing, each of these tasks
// that fits on a box has a place on one of the needed endpoints.
func (c *Cell) longRunningBoxes() (missing int, needed map[*endpoint]bool) {
	waiting := c.waitingForBoxes()
	if len(waiting.rows) == 0 {
		return 0, nil
	}
	var certain []*boxneed.Box
	var capacities []damsonwinch.Resources
	for _, e := range c.sortedEndpoints {
		capacities = append(capacities, e.info.Capacity)
		if !c.longRunningObstacle(e).lasts() {
			certain = append(certain, c.hostingBox(e, waiting))
		}
	}
	hosts, likely := c.likelyHosts(waiting)
	missing = min(boxneed.Missing(waiting.rows, likely, capacities), boxneed.Missing(waiting.rows, certain, capacities)+1)
	for _, row := range waiting.rows {
		row.Waiting = waiting.staying[row]
	}
	boxneed.Take(waiting.rows, likely)
	needed = map[*endpoint]bool{}
	for at, e := range hosts {
		needed[e] = likely[at].Needed
	}
	return missing, needed
}

// likelyHosts returns the endpoints that can be expected to start long-running tasks, and their boxes with what
// they have left for tasks of some phases. Those that are needed in any case come first, so that waiting tasks
// need as few others as possible, and then those that can start a task soonest.
func (c *Cell) likelyHosts(waiting *waitingPhases) ([]*endpoint, []*boxneed.Box) {
	var hosts []*endpoint
	costs := map[*endpoint]int{}
	for _, e := range c.sortedEndpoints {
		if !c.mayHostLongRunning(e) {
			continue
		}
		hosts = append(hosts, e)
		if len(e.reservedTasks) == 0 && e.longRunningNeed() == (damsonwinch.Resources{}) {
			costs[e] = 1 + c.shortRunsEndMs(e)
		}
	}
	slices.SortStableFunc(hosts, func(a, b *endpoint) int { return costs[a] - costs[b] })
	refused := c.refusingEndpoints(waiting)
	boxes := make([]*boxneed.Box, 0, len(hosts))
	for _, e := range hosts {
		b := c.hostingBox(e, waiting)
		b.Barred = c.barredPhases(e, waiting, refused)
		boxes = append(boxes, b)
	}
	return hosts, boxes
}

// maxShortTaskWait is how long a long-running task waits at most for the short tasks on an endpoint. With the time until
// an endpoint is reserved it is less than the 6 s within which users expect such a task to run again.
const maxShortTaskWait = 4 * time.Second

// hostingBox returns what the endpoint's box has for long-running tasks, and how many tasks of the waiting phases are
// there.
func (c *Cell) hostingBox(e *endpoint, waiting *waitingPhases) *boxneed.Box {
	b := &boxneed.Box{Free: e.info.Capacity.Minus(e.longRunningNeed()), Counts: map[*boxneed.Phase]int{}}
	if c.shortRunsEndMs(e) > int(maxShortTaskWait.Milliseconds()) {
		b.Free = e.free()
	}
	for _, r := range e.runsByStart {
		if row := waiting.byPhase[r.task.phase]; row != nil {
			b.Counts[row]++
		}
	}
	return b
}

// barredPhases returns the phases whose tasks may not run on an endpoint because it lacks their label, because the advice
// service doesn't permit it, or because it has refused one of them.
func (c *Cell) barredPhases(e *endpoint, waiting *waitingPhases, refused map[*phase]map[damsonwinch.Life]bool) map[*boxneed.Phase]bool {
	barred := map[*boxneed.Phase]bool{}
	for p, row := range waiting.byPhase {
		if !c.mayEverRun(p, e) || refused[p][e.info.Life] {
			barred[row] = true
		}
	}
	return barred
}

// refusingEndpoints returns, by phase, the endpoints that aren't counted on because they have refused a task that has been
// refused for long. An endpoint's own refusals may be forgotten before its next turn.
func (c *Cell) refusingEndpoints(waiting *waitingPhases) map[*phase]map[damsonwinch.Life]bool {
	refused := map[*phase]map[damsonwinch.Life]bool{}
	for p := range waiting.byPhase {
		for _, t := range p.ready {
			if !c.isRefusedForLong(t) {
				continue
			}
			if refused[p] == nil {
				refused[p] = map[damsonwinch.Life]bool{}
			}
			for _, refusal := range t.refusedBy {
				refused[p][refusal.life] = refused[p][refusal.life] || refusal.byState
			}
		}
	}
	return refused
}
