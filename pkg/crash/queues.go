package crash

import (
	"maps"
	"slices"
	"time"
)

// A queue counts as crash-prone if proneExits endpoints have exited within ProneWindow, each just after
// a task of the queue had started there.
const (
	proneExits  = 2
	ProneWindow = 10 * time.Second
)

// Queues finds the queues with many tasks that crash their endpoints.
type Queues struct {
	// exits holds, by queue, the recent exits of endpoints shortly after a task of that queue started
	// there.
	exits map[string]*Exits
	prone map[string]bool
}

// NewQueues returns the state in which no exit is known.
func NewQueues() *Queues {
	return &Queues{exits: map[string]*Exits{}, prone: map[string]bool{}}
}

// AddExit notes the exit of an endpoint shortly after a task of a queue started there.
func (q *Queues) AddExit(queue string, at time.Time) {
	if q.exits[queue] == nil {
		q.exits[queue] = &Exits{}
	}
	q.exits[queue].Add(at)
}

// QueueChange says that a queue has become crash-prone, or no longer is.
type QueueChange struct {
	Queue string
	Prone bool
	// Exits is the number of exits within ProneWindow.
	Exits int
}

// Update recomputes which queues are crash-prone, and returns the changes in the order of the queues'
// names.
func (q *Queues) Update(now time.Time) []QueueChange {
	var changes []QueueChange
	for _, queue := range slices.Sorted(maps.Keys(q.exits)) {
		count := q.exits[queue].CountWithin(now, ProneWindow)
		if prone := count >= proneExits; prone != q.prone[queue] {
			changes = append(changes, QueueChange{Queue: queue, Prone: prone, Exits: count})
			if prone {
				q.prone[queue] = true
			} else {
				delete(q.prone, queue)
			}
		}
		if count == 0 {
			delete(q.exits, queue)
		}
	}
	return changes
}

// IsProne reports whether a queue was crash-prone at the last Update.
func (q *Queues) IsProne(queue string) bool {
	return q.prone[queue]
}

// AnyProne reports whether any queue was crash-prone at the last Update.
func (q *Queues) AnyProne() bool {
	return len(q.prone) > 0
}
