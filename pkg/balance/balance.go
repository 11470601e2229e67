// Package balance chooses a box for a request by free slots and by latency. It learns
// the latencies and how many slots each box can really use, because the declared
// sizes are far off.
package balance

import (
	"math/rand/v2"
	"time"
)

// Box describes a box that requests can be sent to.
type Box struct {
	Name string
	// Slots is the declared number of slots.
	Slots int
	// InUse counts the slots taken by requests in flight.
	InUse int
	// Limit is the learned number of slots that the box can serve at once, at most
	// Slots.
	Limit int
	// RelativeLatency is the time that the box takes for a request, divided by the
	// average of the request's service: 1 is average, more is slower.
	RelativeLatency float64
}

// Free returns the number of slots that may be used now.
func (b Box) Free() int {
	return max(0, min(b.Slots, b.Limit)-b.InUse)
}

// Choose returns the index of the box that will probably answer first, among those
// with at least size free slots, or -1 if there is none. That is the box with the
// lowest product of load and relative latency. It chooses at random among equal
// boxes, so that not all entries choose the same one.
func Choose(boxes []Box, size int, random *rand.Rand) int {
	best, lowestCost, ties := -1, 0.0, 0
	for i, box := range boxes {
		if box.Free() < size {
			continue
		}
		cost := box.RelativeLatency * float64(box.InUse+size) / float64(min(box.Slots, box.Limit))
		switch {
		case best < 0 || cost < lowestCost:
			best, lowestCost, ties = i, cost, 1
		case cost == lowestCost:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

const (
	latencyWeight      = 0.1  // Weight of a new sample in a box's relative latency.
	averageWeight      = 0.05 // Weight of a new sample in a service's average latency.
	minRelativeLatency = 0.2
	maxRelativeLatency = 10
)

// Learner learns the latencies and concurrency limits of boxes from the results of
// requests.
type Learner struct {
	averages  map[string]float64 // Average latency in seconds, by service.
	latencies map[string]float64 // Relative latency, by box.
	limits    map[string]limit   // By box. All declared slots of a box without a limit may be used.
}

// limit is a box's learned concurrency limit. It is lowered when the box reports
// that it is busy, and raised by one slot after as many successes as it has slots.
type limit struct {
	slots     int
	successes int // Since the limit last changed.
}

// New returns a Learner without any samples.
func New() *Learner {
	return &Learner{averages: map[string]float64{}, latencies: map[string]float64{}, limits: map[string]limit{}}
}

// RelativeLatency returns the learned relative latency of a box, or 1 if there are
// no samples.
func (l *Learner) RelativeLatency(box string) float64 {
	if latency, known := l.latencies[box]; known {
		return latency
	}
	return 1
}

// Limit returns how many slots of a box may be used at once. slots is the declared
// number, which is returned if no limit has been learned.
func (l *Learner) Limit(box string, slots int) int {
	if learned, known := l.limits[box]; known {
		return min(learned.slots, slots)
	}
	return slots
}

// AverageLatency returns the average time that a request of the service takes, or 0
// if there are no samples.
func (l *Learner) AverageLatency(service string) time.Duration {
	return time.Duration(l.averages[service] * float64(time.Second))
}

// RecordAnswer records that a box answered a request of a service, and how long
// that took. slots is the box's declared number of slots.
func (l *Learner) RecordAnswer(service, box string, took time.Duration, slots int) {
	seconds := took.Seconds()
	average, known := l.averages[service]
	if !known {
		average = seconds
	}
	l.averages[service] = average + averageWeight*(seconds-average)
	if average > 0 {
		ratio := min(maxRelativeLatency, max(minRelativeLatency, seconds/average))
		l.latencies[box] = l.RelativeLatency(box) + latencyWeight*(ratio-l.RelativeLatency(box))
	}
	l.raiseLimit(box, slots)
}

// raiseLimit counts a success of a box, raises its limit if that was the last one
// needed, and drops the limit once all declared slots may be used.
func (l *Learner) raiseLimit(box string, slots int) {
	learned, known := l.limits[box]
	if !known {
		return
	}
	learned.successes++
	if learned.successes >= learned.slots {
		learned.slots, learned.successes = learned.slots+1, 0
	}
	if learned.slots >= slots {
		delete(l.limits, box)
		return
	}
	l.limits[box] = learned
}

// RecordBusy records that a box refused a request because it was busy, and sets the
// box's limit below inUse. inUse is the number of the box's slots in use, the slots
// of the refused request included.
func (l *Learner) RecordBusy(box string, inUse int) {
	l.limits[box] = limit{slots: max(1, inUse-1)}
}

// SlowStart sets the limit of a box to one slot. It is for a box that has just come
// back.
func (l *Learner) SlowStart(box string) {
	l.limits[box] = limit{slots: 1}
}
