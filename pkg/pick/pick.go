// Package pick chooses an endpoint for a request by free slots and by learned
// speed, because declared sizes are far off. It is pure.
package pick

import (
	"math/rand/v2"
	"time"
)

// Box is what is known of one endpoint box.
type Box struct {
	Name  string
	Slots int
	// InUse counts the slots taken by requests in flight.
	InUse int
	// Limit is the learned number of slots that the box bears, at most Slots.
	Limit int
	// RelativeLatency is the box's time for a request against the average of its service;
	// 1 is average, more is slower.
	RelativeLatency float64
}

// Free returns the slots that may be used now.
func (b Box) Free() int {
	return max(0, min(b.Slots, b.Limit)-b.InUse)
}

// Choose returns the place of the box that will likely answer first: the one
// with the least load for its pace. Among equals chance decides, so that
// entries don't all choose alike. It returns -1 if none has the slots.
func Choose(boxes []Box, size int, random *rand.Rand) int {
	best, least, equals := -1, 0.0, 0
	for i, box := range boxes {
		if box.Free() < size {
			continue
		}
		cost := box.RelativeLatency * float64(box.InUse+size) / float64(min(box.Slots, box.Limit))
		switch {
		case best < 0 || cost < least:
			best, least, equals = i, cost, 1
		case cost == least:
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// Weights of a new sample in the running averages.
const (
	paceWeight    = 0.1
	averageWeight = 0.05
	leastPace     = 0.2
	mostPace      = 10
)

// Learner learns paces and limits from what happens.
type Learner struct {
	averages map[string]float64 // Seconds by service.
	paces    map[string]float64 // By box.
	limits   map[string]limit
}

// limit is a box's learned concurrency; it falls when the box says that it is
// busy and rises by a slot with each run of successes.
type limit struct {
	slots  int
	streak int
}

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{averages: map[string]float64{}, paces: map[string]float64{}, limits: map[string]limit{}}
}

// RelativeLatency returns the learned pace of a box, 1 if unknown.
func (l *Learner) RelativeLatency(box string) float64 {
	if pace, known := l.paces[box]; known {
		return pace
	}
	return 1
}

// Limit returns the learned limit of a box with the declared slots.
func (l *Learner) Limit(box string, slots int) int {
	if learned, known := l.limits[box]; known {
		return min(learned.slots, slots)
	}
	return slots
}

// AverageLatency returns how long a request of the service takes, 0 if unknown.
func (l *Learner) AverageLatency(service string) time.Duration {
	return time.Duration(l.averages[service] * float64(time.Second))
}

// RecordAnswer learns from a request that was answered.
func (l *Learner) RecordAnswer(service, box string, took time.Duration, slots int) {
	seconds := took.Seconds()
	average, known := l.averages[service]
	if !known {
		average = seconds
	}
	l.averages[service] = average + averageWeight*(seconds-average)
	if average > 0 {
		ratio := min(mostPace, max(leastPace, seconds/average))
		l.paces[box] = l.RelativeLatency(box) + paceWeight*(ratio-l.RelativeLatency(box))
	}
	l.raise(box, slots)
}

func (l *Learner) raise(box string, slots int) {
	learned, known := l.limits[box]
	if !known {
		return
	}
	learned.streak++
	if learned.streak >= learned.slots {
		learned.slots, learned.streak = learned.slots+1, 0
	}
	if learned.slots >= slots {
		delete(l.limits, box)
		return
	}
	l.limits[box] = learned
}

// RecordBusy learns that a box refused work while it had a number of slots in use.
func (l *Learner) RecordBusy(box string, inUse int) {
	l.limits[box] = limit{slots: max(1, inUse-1)}
}

// SlowStart lets a box that returns begin with one slot.
func (l *Learner) SlowStart(box string) {
	l.limits[box] = limit{slots: 1}
}
