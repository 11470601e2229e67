package boxneed

import (
	"slices"

	"damsonwinch"
)

// MilliPerBox is one box in thousandths of a box.
const MilliPerBox = 1000

// Dedicated works out how many boxes without long-running tasks are needed for tasks that fit beside
// long-running ones on none of the boxes that have some. The zero value has no boxes.
type Dedicated struct {
	// largest holds, for each kind of resource, the capacity of the box that has most of it.
	largest damsonwinch.Resources
	// left holds what boxes have left beside their long-running tasks, without the amounts that another one
	// holds: few are left of many boxes.
	left  []damsonwinch.Resources
	hosts int
}

// AddBox adds a box with the given capacity, of which long-running tasks need a part or nothing.
func (d *Dedicated) AddBox(capacity, longRunning damsonwinch.Resources) {
	d.largest = damsonwinch.Resources{
		MilliCPU: max(d.largest.MilliCPU, capacity.MilliCPU), MemoryMB: max(d.largest.MemoryMB, capacity.MemoryMB), GPUs: max(d.largest.GPUs, capacity.GPUs),
	}
	if longRunning == (damsonwinch.Resources{}) {
		return
	}
	d.hosts++
	left := capacity.Minus(longRunning)
	if d.fitsBesideLongRunning(left) {
		return
	}
	d.left = slices.DeleteFunc(d.left, func(other damsonwinch.Resources) bool { return left.Holds(other) })
	d.left = append(d.left, left)
}

// Hosts returns the number of boxes with long-running tasks.
func (d *Dedicated) Hosts() int {
	return d.hosts
}

// MilliBoxes returns the capacity, in thousandths of a box, that the given number of tasks need on boxes
// without long-running tasks. It returns 0 if they fit beside long-running tasks, or if no box has any.
func (d *Dedicated) MilliBoxes(need damsonwinch.Resources, count int) int {
	if d.hosts == 0 || d.fitsBesideLongRunning(need) {
		return 0
	}
	return count * MilliPerBox / d.tasksPerBox(need)
}

// fitsBesideLongRunning reports whether a single box has all that a task needs left. The largest CPU and the
// largest memory may be those of different boxes.
func (d *Dedicated) fitsBesideLongRunning(need damsonwinch.Resources) bool {
	return slices.ContainsFunc(d.left, func(left damsonwinch.Resources) bool { return left.Holds(need) })
}

// tasksPerBox returns how many tasks with the given need fit on the largest box while it is empty, at least
// 1.
func (d *Dedicated) tasksPerBox(need damsonwinch.Resources) int {
	return max(1, min(d.largest.MilliCPU/max(1, need.MilliCPU), d.largest.MemoryMB/max(1, need.MemoryMB)))
}
