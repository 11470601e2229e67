package cell

import (
	"slices"
	"time"
)

// rateWindow is the time over which the exits of endpoints are counted. burstWindow is a shorter
// one, since the disturbances that users report last some seconds and begin suddenly.
const (
	rateWindow  = 10 * time.Second
	burstWindow = 2 * time.Second
)

// exits holds the times at which endpoints exited recently while tasks ran there.
type exits struct {
	times []time.Time
}

// add records an exit.
func (e *exits) add(at time.Time) {
	e.times = append(e.times, at)
}

// countWithin returns the number of exits within a window before now. The window is rateWindow at
// most.
func (e *exits) countWithin(now time.Time, window time.Duration) int {
	e.times = slices.DeleteFunc(e.times, func(at time.Time) bool { return now.Sub(at) > rateWindow })
	count := 0
	for _, at := range e.times {
		if now.Sub(at) <= window {
			count++
		}
	}
	return count
}

// baselineExitRate estimates how often endpoints exit by themselves, from those that exit while
// nothing has started there just before. Any other exit may be caused by what has just started:
// where a queue sends many tasks that crash their endpoints, nearly all exits are. If they were
// counted in the baseline, each of those tasks would look innocent.
type baselineExitRate struct {
	exits exits
	// exposures holds for how long endpoints ran something without exiting while nothing had
	// started there just before.
	exposures  []exposure
	observedAt time.Time
}

// exposure is the time that all such endpoints together spent in the interval that ended at until.
type exposure struct {
	until   time.Time
	seconds float64
}

// Exits and exposure that are added to the observed ones. They matter while little has been
// observed: having seen no exit may be luck, and having seen one as well.
const (
	priorExits    = 0.5
	priorExposure = 20 * time.Second
	// burstExits is the number of exits within burstWindow that make a burst.
	burstExits = 2
)

// observe records that so many endpoints have been exposed since the last call.
func (h *baselineExitRate) observe(now time.Time, endpoints int) {
	if passed := now.Sub(h.observedAt); !h.observedAt.IsZero() && passed <= time.Second {
		h.exposures = append(h.exposures, exposure{until: now, seconds: float64(endpoints) * passed.Seconds()})
	}
	h.observedAt = now
	h.exposures = slices.DeleteFunc(h.exposures, func(e exposure) bool { return now.Sub(e.until) > rateWindow })
}

// rate returns the estimated number of exits per second of one endpoint.
func (h *baselineExitRate) rate(now time.Time) float64 {
	rate := (float64(h.exits.countWithin(now, rateWindow)) + priorExits) / (h.exposedSeconds(now, rateWindow) + priorExposure.Seconds())
	if recent := h.exits.countWithin(now, burstWindow); recent >= burstExits {
		rate = max(rate, float64(recent)/(h.exposedSeconds(now, burstWindow)+burstWindow.Seconds()))
	}
	return rate
}

// exposedSeconds returns for how many seconds endpoints were exposed within a window before now.
func (h *baselineExitRate) exposedSeconds(now time.Time, window time.Duration) float64 {
	sum := 0.0
	for _, e := range h.exposures {
		if now.Sub(e.until) <= window {
			sum += e.seconds
		}
	}
	return sum
}
