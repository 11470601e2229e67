// Package agenda lets time pass in a simulation: what is to happen, in order of its moment.
package agenda

import (
	"container/heap"
	"time"
)

// Queue holds what is to happen. What falls on one moment happens in the order in which it was
// put there.
type Queue struct {
	events events
	number int
}

// Schedule has something happen at a moment.
func (a *Queue) Schedule(at time.Time, do func()) {
	a.number++
	heap.Push(&a.events, event{at: at, number: a.number, do: do})
}

// PopUntil takes out what happens next, if that is at a moment or before it.
func (a *Queue) PopUntil(until time.Time) (at time.Time, do func(), found bool) {
	if len(a.events) == 0 || a.events[0].at.After(until) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&a.events).(event)
	return next.at, next.do, true
}

type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
