package cell

import (
	"slices"
	"time"
)

// rateTime is the time over which the ends of endpoints are counted, and burstTime a shorter
// one: the users' troubles take some seconds, and begin suddenly.
const (
	rateTime  = 10 * time.Second
	burstTime = 2 * time.Second
)

// exits are the moments at which endpoints have ended of late under tasks.
type exits struct {
	at []time.Time
}

func (e *exits) add(at time.Time) {
	e.at = append(e.at, at)
}

// countWithin returns how many have ended of late.
func (e *exits) countWithin(now time.Time, length time.Duration) int {
	e.at = slices.DeleteFunc(e.at, func(at time.Time) bool { return now.Sub(at) > rateTime })
	count := 0
	for _, at := range e.at {
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
	ends exits
	// exposed tells for how long endpoints have run something without an end while nothing
	// had begun there.
	exposed []exposure
	seenAt  time.Time
}

// exposure is the time that endpoints have spent so until a moment, in seconds of one.
type exposure struct {
	until   time.Time
	seconds float64
}

// What is counted beside the ends that were seen and the endpoints' time without one, as long as
// that is short: none may be luck, and a single one as well.
const (
	priorEnds = 0.5
	priorTime = 20 * time.Second
	// burstEnds is the number of ends in burstTime that are one.
	burstEnds = 2
)

// observe takes note of how many endpoints are exposed since the last time.
func (h *baselineExitRate) observe(now time.Time, endpoints int) {
	if passed := now.Sub(h.seenAt); !h.seenAt.IsZero() && passed <= time.Second {
		h.exposed = append(h.exposed, exposure{until: now, seconds: float64(endpoints) * passed.Seconds()})
	}
	h.seenAt = now
	h.exposed = slices.DeleteFunc(h.exposed, func(e exposure) bool { return now.Sub(e.until) > rateTime })
}

// rate returns how often one endpoint ends by itself, a second.
func (h *baselineExitRate) rate(now time.Time) float64 {
	rate := (float64(h.ends.countWithin(now, rateTime)) + priorEnds) / (h.seconds(now, rateTime) + priorTime.Seconds())
	if lately := h.ends.countWithin(now, burstTime); lately >= burstEnds {
		rate = max(rate, float64(lately)/(h.seconds(now, burstTime)+burstTime.Seconds()))
	}
	return rate
}

// seconds returns for how long endpoints were exposed of late.
func (h *baselineExitRate) seconds(now time.Time, length time.Duration) float64 {
	sum := 0.0
	for _, e := range h.exposed {
		if now.Sub(e.until) <= length {
			sum += e.seconds
		}
	}
	return sum
}
