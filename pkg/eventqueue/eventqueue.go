// Package eventqueue provides the event queue of a discrete-event simulation.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds scheduled events, ordered by time. Events at the same time are ordered as they were
// scheduled. The zero Queue is empty and ready to use.
type Queue struct {
	events eventHeap
	// scheduled counts all events that have been scheduled.
	scheduled int
}

// Schedule adds an event. The simulation should call action at the given time.
func (q *Queue) Schedule(at time.Time, action func()) {
	q.scheduled++
	heap.Push(&q.events, event{at: at, number: q.scheduled, action: action})
}

// PopUntil removes the next event if its time is until or earlier, and returns its time and action.
// found is false if there is no such event. PopUntil doesn't call the action.
func (q *Queue) PopUntil(until time.Time) (at time.Time, action func(), found bool) {
	if len(q.events) == 0 || q.events[0].at.After(until) {
		return time.Time{}, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.action, true
}

// event is a scheduled event.
type event struct {
	at time.Time
	// number is the number of events that were scheduled up to this one. It orders events at the
	// same time.
	number int
	action func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
