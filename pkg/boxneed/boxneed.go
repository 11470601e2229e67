// Package boxneed computes how many more boxes are needed for long-running tasks that fit on none of the
// present ones, and for other tasks that fit beside none of the long-running ones. The sums of the CPU and
// memory that tasks need don't show that: the boxes may have enough in total, and none enough for one more
// task.
package boxneed

import "damsonwinch"

// Phase is a set of identical tasks.
type Phase struct {
	// Need is what each task needs.
	Need damsonwinch.Resources
	// MaxPerBox is the highest number of the phase's tasks on one box, or 0 if there is no limit.
	MaxPerBox int
	// Waiting is the number of tasks that wait for a box.
	Waiting int
}

// Box is what a box would have left for long-running tasks once its short tasks have ended.
type Box struct {
	Free damsonwinch.Resources
	// Counts holds the number of tasks there by phase, for phases with a limit per box.
	Counts map[*Phase]int
	// Barred holds the phases whose tasks may not run there.
	Barred map[*Phase]bool
	// Needed is set once the box has taken a waiting task.
	Needed bool
}

// Missing returns how many boxes are needed beside the given ones. The boxes change: they take the tasks
// that fit. A further box need be no larger than those with the given capacities, which are the boxes'
// capacities when they run nothing.
func Missing(phases []*Phase, boxes []*Box, capacities []damsonwinch.Resources) int {
	missing := 0
	for _, p := range phases {
		for range p.Waiting {
			if takeByAny(boxes, p) {
				continue
			}
			capacity, exists := capacityFor(p, capacities)
			if !exists {
				break
			}
			added := &Box{Free: capacity, Counts: map[*Phase]int{}}
			added.take(p)
			boxes = append(boxes, added)
			missing++
		}
	}
	return missing
}

// Take has the boxes take the waiting tasks that fit. Unlike Missing it adds no boxes.
func Take(phases []*Phase, boxes []*Box) {
	for _, p := range phases {
		for range p.Waiting {
			if !takeByAny(boxes, p) {
				break
			}
		}
	}
}

// capacityFor returns the first of the capacities that can hold a task of a phase, and whether there is
// one.
func capacityFor(p *Phase, capacities []damsonwinch.Resources) (damsonwinch.Resources, bool) {
	for _, capacity := range capacities {
		if capacity.Holds(p.Need) {
			return capacity, true
		}
	}
	return damsonwinch.Resources{}, false
}

// takeByAny has the first of the boxes that can take a task of a phase take it. It returns false if none
// can.
func takeByAny(boxes []*Box, p *Phase) bool {
	for _, b := range boxes {
		if !b.Barred[p] && b.Free.Holds(p.Need) && (p.MaxPerBox == 0 || b.Counts[p] < p.MaxPerBox) {
			b.take(p)
			return true
		}
	}
	return false
}

// take adds a task of a phase to the box.
func (b *Box) take(p *Phase) {
	b.Free = b.Free.Minus(p.Need)
	b.Counts[p]++
	b.Needed = true
}
