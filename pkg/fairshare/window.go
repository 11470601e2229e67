package fairshare

import "time"

const (
	// windowTime is the time over which arrivals are counted. Weights are in jobs per second, so a
	// count over one second is compared with a weight directly.
	windowTime = time.Second
	// slotTime is the resolution of the window. The planner calls as often, so that a finer one would
	// not make the fleet-wide sums any newer.
	slotTime    = 100 * time.Millisecond
	windowSlots = int64(windowTime / slotTime)
)

// window counts events of the last windowTime. The zero value is ready for use. Times are durations
// since a fixed moment on the monotonic clock of one node.
type window struct {
	counts [windowSlots]int
	// newest is the number of the newest slot, counted from that moment.
	newest int64
}

// advance drops the events that are older than windowTime at the given time.
func (w *window) advance(at time.Duration) {
	slot := int64(at / slotTime)
	for passed := min(slot-w.newest, windowSlots); passed > 0; passed-- {
		w.counts[(slot-passed+1)%windowSlots] = 0
	}
	w.newest = max(w.newest, slot)
}

// add counts an event.
func (w *window) add(at time.Duration) {
	w.advance(at)
	w.counts[w.newest%windowSlots]++
}

// count returns the number of events within the last windowTime.
func (w *window) count(at time.Duration) int {
	w.advance(at)
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}
