// Package triage decides which waiting work is put off when there is more of it than
// can be done in time. In order of urgency alone, nearly all of it would be late then:
// the wait grows until each task starts when it is just about too late for it.
package triage

import "container/heap"

// Item is work that waits: the tasks of one phase of a job that may start.
type Item struct {
	// CPU is the room that its tasks take, in thousandths of a core.
	CPU int
	// StartWithinMs is until when they have to start for the job to be in time, in
	// milliseconds from now.
	StartWithinMs int
	// Value is what the job is worth if it is in time, and Rest what it still takes,
	// both in thousandths of a core times milliseconds.
	Value         float64
	RemainingWork float64
}

// Capacity is what the items have.
type Capacity struct {
	// FreeCPU is what is free now, in thousandths of a core, and PerMs what becomes free
	// in each millisecond because tasks end.
	FreeCPU       int
	FreedCPUPerMs float64
}

// waitShare is the part of the time that an item can wait in which room for it is
// counted on. The rest is for what comes meanwhile, for tasks that take longer than
// expected and for the job's later phases, which wait as well. Worth some 0.01 of a day's
// 1.0: the means of forty days were 0.440 with nothing put off, 0.435 with the whole wait
// counted on, 0.451 and 0.447 with a half and 0.454 with a quarter, those of 27 days with
// one trouble each 0.578, 0.585, 0.583 and 0.575. Starting all by their worth for what
// they take instead is no better (0.445 and 0.573).
const waitShare = 0.5

// Defer returns which items are to wait behind the others so that those are in time.
// The items stand in the order in which they have to start. Where those up to one can't
// all be started soon enough, the one that is worth least for what it still takes is put
// off: Moore's rule for the fewest late jobs, weighed by their worth. What is nearly done
// takes little any more and goes on.
func Defer(items []Item, room Capacity) []bool {
	put := make([]bool, len(items))
	kept := &byWorth{items: items}
	needed := 0
	for at, item := range items {
		if item.CPU == 0 {
			continue
		}
		needed += item.CPU
		heap.Push(kept, at)
		for float64(needed) > room.by(item.StartWithinMs) && kept.Len() > 0 {
			worst := kept.order[0]
			heap.Pop(kept)
			put[worst] = true
			needed -= items[worst].CPU
		}
	}
	return put
}

// by returns the room that is counted on for items that have to start by a time.
func (r Capacity) by(startBy int) float64 {
	return float64(r.FreeCPU) + waitShare*r.FreedCPUPerMs*float64(max(0, startBy))
}
