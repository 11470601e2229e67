// Package cutoff judges from the answers of a zone's endpoints whether the zone is cut off from their
// owner.
package cutoff

import "time"

// Times by which a zone that is cut off from the owner is distinguished from one that can be
// reached.
const (
	// overdueAfter is how long an endpoint that can be reached may take to answer a request.
	// Usually it takes some 3 ms, and a busy node takes some 50 ms to process the reply.
	overdueAfter = 150 * time.Millisecond
	// abandonedAfter is the age at which a call has timed out on this side. That it has not been
	// answered then says nothing about the endpoint any more.
	abandonedAfter = 1500 * time.Millisecond
	// cutOffAfter is how long a zone may have been out of reach until its boxes are no longer
	// counted on. Replacing them costs moves, and short interruptions are over by then.
	cutOffAfter = 300 * time.Millisecond
)

// IsOverdue reports whether a call that could have been answered at since is overdue: that was more
// than overdueAfter ago, and the call has not timed out.
func IsOverdue(now, since time.Time) bool {
	age := now.Sub(since)
	return age > overdueAfter && age < abandonedAfter
}

// Zone is what the answers of a zone's endpoints show of the zone. The zero value is a zone that can
// be reached.
type Zone struct {
	// answeredAt is when an endpoint of the zone last answered a call.
	answeredAt time.Time
	// unansweredSince is since when calls to the zone's endpoints have been overdue while none of
	// its endpoints has answered, or zero if that isn't so.
	unansweredSince time.Time
	// unanswered holds the same condition between BeginCheck and EndCheck.
	unanswered bool
}

// Answered notes that an endpoint of the zone has answered a call. It reports whether the zone might
// have been cut off before.
func (z *Zone) Answered(now time.Time) bool {
	z.answeredAt = now
	mightBeCutOff := z.MayBeCutOff()
	z.unansweredSince = time.Time{}
	return mightBeCutOff
}

// MayBeCutOff reports whether the zone may be cut off: calls to it are overdue, and none of its
// endpoints has answered.
func (z *Zone) MayBeCutOff() bool {
	return !z.unansweredSince.IsZero()
}

// IsCutOff reports whether the zone may have been cut off for cutOffAfter, so that it counts as cut
// off.
func (z *Zone) IsCutOff(now time.Time) bool {
	return z.MayBeCutOff() && now.Sub(z.unansweredSince) >= cutOffAfter
}

// BeginCheck begins a check of all endpoints of the zone. AddOverdue and AddSilent are called for those
// that don't answer, and then EndCheck.
func (z *Zone) BeginCheck() {
	z.unanswered = false
}

// AddOverdue notes an overdue call that could have been answered at since.
func (z *Zone) AddOverdue(since time.Time) {
	if z.answeredAt.Before(since) {
		z.unanswered = true
	}
}

// AddSilent notes an endpoint whose last call has failed without an answer. That alone does not show
// that the zone is cut off, but if it may be, it stays so.
func (z *Zone) AddSilent() {
	if z.MayBeCutOff() {
		z.unanswered = true
	}
}

// EndCheck ends the check. The zone may be cut off from now on if an endpoint was noted.
func (z *Zone) EndCheck(now time.Time) {
	switch {
	case !z.unanswered:
		z.unansweredSince = time.Time{}
	case !z.MayBeCutOff():
		z.unansweredSince = now
	}
}
