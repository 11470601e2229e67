package cell

import (
	"slices"
	"time"
)

// rateWindow is the time over which the ends of endpoints are counted, and burstWindow a shorter
// one: the users' troubles take some seconds, and begin suddenly.
const (
	rateWindow  = 10 * time.Second
	burstWindow = 2 * time.Second
)

// exits are the moments at which endpoints have ended of late under tasks.
type exits struct {
	times []time.Time
}

func (e *exits) add(at time.Time) {
	e.times = append(e.times, at)
}

// countWithin returns how many have ended of late.
func (e *exits) countWithin(now time.Time, length time.Duration) int {
	e.times = slices.DeleteFunc(e.times, func(at time.Time) bool { return now.Sub(at) > rateWindow })
	count := 0
	for _, at := range e.times {
		if now.Sub(at) <= length {
			count++
		}
	}
	return count
}

// baselineExitRate tells how often endpoints end by themselves, by those that do while nothing has begun
// there just before. Any other end may be the doing of what has begun: where a queue sends many
// tasks that crash their endpoints, nearly all are, and counted as baselineExitRate they would speak for
// each of those tasks.
type baselineExitRate struct {
	exits exits
	// exposures tells for how long endpoints have run something without an end while nothing
	// had begun there.
	exposures  []exposure
	observedAt time.Time
}

// exposure is the time that endpoints have spent so until a moment, in seconds of one.
type exposure struct {
	until   time.Time
	seconds float64
}

// What is counted beside the ends that were seen and the endpoints' time without one, as long as
// that is short: none may be luck, and a single one as well.
const (
	priorExits    = 0.5
	priorExposure = 20 * time.Second
	// burstExits is the number of ends in burstTime that are one.
	burstExits = 2
)

// observe takes note of how many endpoints are exposed since the last time.
func (h *baselineExitRate) observe(now time.Time, endpoints int) {
	if passed := now.Sub(h.observedAt); !h.observedAt.IsZero() && passed <= time.Second {
		h.exposures = append(h.exposures, exposure{until: now, seconds: float64(endpoints) * passed.Seconds()})
	}
	h.observedAt = now
	h.exposures = slices.DeleteFunc(h.exposures, func(e exposure) bool { return now.Sub(e.until) > rateWindow })
}

// rate returns how often one endpoint ends by itself, a second.
func (h *baselineExitRate) rate(now time.Time) float64 {
	rate := (float64(h.exits.countWithin(now, rateWindow)) + priorExits) / (h.exposedSeconds(now, rateWindow) + priorExposure.Seconds())
	if lately := h.exits.countWithin(now, burstWindow); lately >= burstExits {
		rate = max(rate, float64(lately)/(h.exposedSeconds(now, burstWindow)+burstWindow.Seconds()))
	}
	return rate
}

// exposedSeconds returns for how long endpoints were exposed of late.
func (h *baselineExitRate) exposedSeconds(now time.Time, length time.Duration) float64 {
	sum := 0.0
	for _, e := range h.exposures {
		if now.Sub(e.until) <= length {
			sum += e.seconds
		}
	}
	return sum
}
