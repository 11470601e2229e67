package crash

import (
	"slices"
	"time"
)

// rateWindow is the time over which the exits of endpoints are counted for their rate. burstWindow
// is a shorter one for bursts: the disturbances that users report last some seconds and begin
// suddenly.
const (
	rateWindow  = 10 * time.Second
	burstWindow = 2 * time.Second
)

// Exits holds the times at which endpoints exited within the last rateWindow.
type Exits struct {
	times []time.Time
}

// Add notes an exit at the given time.
func (e *Exits) Add(at time.Time) {
	e.times = append(e.times, at)
}

// CountWithin returns the number of exits within a window before now. The window must not be longer
// than rateWindow.
func (e *Exits) CountWithin(now time.Time, window time.Duration) int {
	e.times = slices.DeleteFunc(e.times, func(at time.Time) bool { return now.Sub(at) > rateWindow })
	count := 0
	for _, at := range e.times {
		if now.Sub(at) <= window {
			count++
		}
	}
	return count
}

// BaselineRate estimates how often endpoints exit by themselves, from those that exit while
// nothing has started there just before. Any other exit may be caused by a task that has just
// started. Where a queue has many tasks that crash their endpoints, nearly all exits are. If those
// were counted, the rate would be so high that each of these tasks seemed to be innocent.
type BaselineRate struct {
	exits Exits
	// exposures holds for how long endpoints were exposed: they ran something and did not exit, and
	// nothing had started there just before.
	exposures  []exposure
	observedAt time.Time
}

// exposure is the sum of the times for which endpoints were exposed in the interval that ended at
// until.
type exposure struct {
	until   time.Time
	seconds float64
}

// priorExits and priorExposure are added to the observed exits and exposure. They matter while
// little has been observed: then no exit, or a single one, may be chance.
const (
	priorExits    = 0.5
	priorExposure = 20 * time.Second
	// burstExits is the number of exits within burstWindow from which the rate of that window
	// counts, if it is higher.
	burstExits = 2
)

// AddExit notes the exit of an endpoint where nothing had started just before.
func (r *BaselineRate) AddExit(at time.Time) {
	r.exits.Add(at)
}

// Observe notes that the given number of endpoints has been exposed since the last call. It does
// not count intervals of more than a second.
func (r *BaselineRate) Observe(now time.Time, exposed int) {
	if passed := now.Sub(r.observedAt); !r.observedAt.IsZero() && passed <= time.Second {
		r.exposures = append(r.exposures, exposure{until: now, seconds: float64(exposed) * passed.Seconds()})
	}
	r.observedAt = now
	r.exposures = slices.DeleteFunc(r.exposures, func(e exposure) bool { return now.Sub(e.until) > rateWindow })
}

// Rate returns the estimated number of exits per second of a single endpoint.
func (r *BaselineRate) Rate(now time.Time) float64 {
	rate := (float64(r.exits.CountWithin(now, rateWindow)) + priorExits) / (r.exposedSeconds(now, rateWindow) + priorExposure.Seconds())
	if recent := r.exits.CountWithin(now, burstWindow); recent >= burstExits {
		rate = max(rate, float64(recent)/(r.exposedSeconds(now, burstWindow)+burstWindow.Seconds()))
	}
	return rate
}

// exposedSeconds returns the sum of the seconds for which endpoints were exposed within a window
// before now.
func (r *BaselineRate) exposedSeconds(now time.Time, window time.Duration) float64 {
	sum := 0.0
	for _, e := range r.exposures {
		if now.Sub(e.until) <= window {
			sum += e.seconds
		}
	}
	return sum
}
