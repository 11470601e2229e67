// Package leasebound estimates the clock of an endpoint and bounds the time by which the leases there
// have expired, whatever became of the requests that may have extended them.
package leasebound

import "time"

const (
	// clockDriftFactor extends leases for a monotonic clock that runs 2% slow, which the platform
	// allows, plus a small margin.
	clockDriftFactor = 1.03
	// margin is added to the bound of each extension, for rounding and scheduling.
	margin = 200 * time.Millisecond
)

// Leases holds what an owner knows of the leases on one endpoint.
type Leases struct {
	// clockMs is the endpoint's clock, in milliseconds, in a reply that arrived at sampledAt.
	clockMs   int
	sampledAt time.Time
	// expireBy is the time by which all leases have certainly expired, unless later requests extend
	// them.
	expireBy time.Time
}

// Unknown returns the leases on an endpoint of which a new owner knows nothing. An earlier owner may
// have renewed them, each for at most maxLease, until it noticed that it was no longer the owner, which
// it did within renewalGrace.
func Unknown(now time.Time, renewalGrace, maxLease time.Duration) Leases {
	return Leases{expireBy: now.Add(renewalGrace + withDrift(maxLease))}
}

// SampleClock notes the endpoint's clock in a reply that arrives now.
func (l *Leases) SampleClock(now time.Time, clockMs int) {
	l.clockMs, l.sampledAt = clockMs, now
}

// ClockAt estimates what the endpoint's clock shows at the given time, in milliseconds. The clock shows that or more. It returns
// false if no reply has shown the clock.
func (l *Leases) ClockAt(at time.Time) (clockMs int, known bool) {
	return l.clockMs + int(at.Sub(l.sampledAt).Milliseconds()), !l.sampledAt.IsZero()
}

// Extend returns when a lease ends that lasts for the given time from now, in milliseconds on the
// endpoint's clock. It assumes that the endpoint receives a request with that end.
func (l *Leases) Extend(now time.Time, lease time.Duration) int {
	untilMs := l.clockMs + int(now.Sub(l.sampledAt).Milliseconds()) + int(lease.Milliseconds())
	left := time.Duration(untilMs-l.clockMs) * time.Millisecond
	if bound := l.sampledAt.Add(withDrift(left) + margin); bound.After(l.expireBy) {
		l.expireBy = bound
	}
	return untilMs
}

// ExpiredFor returns how long ago all leases had certainly expired. It is not positive while one may
// be valid.
func (l *Leases) ExpiredFor(now time.Time) time.Duration {
	return now.Sub(l.expireBy)
}

// withDrift returns how long a lease of the given duration may last on this machine's clock if the
// endpoint's clock is as slow as the platform allows.
func withDrift(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * clockDriftFactor)
}
