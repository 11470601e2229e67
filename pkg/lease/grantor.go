package lease

import (
	"maps"
	"time"
)

// senderState is what a grantor knows of one sender.
type senderState struct {
	// lastRenewal is the number of the newest renewal that was read from the log, and readAt is when
	// it was read.
	lastRenewal int
	readAt      time.Time
	// extendedUntil is when the newest extension that was granted to the sender ends.
	extendedUntil time.Time
	// proposedRenewal was the number of the newest renewal when the grantor last proposed to release
	// the sender. It is 0 without a proposal. The proposal may reach the log at any later time.
	proposedRenewal int
}

// Grantor is a keeper's side of the leases of its zone's senders: which extensions it has granted, and
// when it may propose a sender's release. It is immutable: its With methods and Extend return a new one.
type Grantor struct {
	timing  Timing
	senders map[string]senderState
}

// NewGrantor returns a grantor that knows no sender.
func NewGrantor(timing Timing) Grantor {
	return Grantor{timing: timing, senders: map[string]senderState{}}
}

// WithRenewalRead returns the grantor after a sender's renewal with the given number was read from the
// log, at a time on the grantor's clock. A renewal that isn't newer than the last one changes nothing.
func (g Grantor) WithRenewalRead(sender string, renewal int, at time.Time) Grantor {
	state, known := g.senders[sender]
	if known && renewal <= state.lastRenewal {
		return g
	}
	state.lastRenewal, state.readAt = renewal, at
	return g.withSender(sender, state)
}

// WithoutSender returns the grantor without a sender that the log has released.
func (g Grantor) WithoutSender(sender string) Grantor {
	if _, known := g.senders[sender]; !known {
		return g
	}
	g.senders = maps.Clone(g.senders)
	delete(g.senders, sender)
	return g
}

// Senders returns the names of the senders that the grantor knows.
func (g Grantor) Senders() []string {
	names := make([]string, 0, len(g.senders))
	for name := range g.senders {
		names = append(names, name)
	}
	return names
}

// Extend handles a sender's request for an extension, and reports whether the extension is granted. It
// is denied while the log may still accept a proposal to release the sender as of its last known
// renewal. It is also denied to a sender that the log doesn't list: the sender may have been released
// without knowing it.
func (g Grantor) Extend(sender string, now time.Time) (Grantor, bool) {
	state, known := g.senders[sender]
	if !known || state.proposedRenewal != 0 && state.proposedRenewal >= state.lastRenewal {
		return g, false
	}
	state.extendedUntil = now.Add(g.timing.Duration)
	return g.withSender(sender, state), true
}

// MayRelease reports whether the grantor may propose the release of a sender: the lease from the
// sender's last renewal and every extension that the grantor granted have run out, with a margin of
// Timing.MaxDrift. It returns false for a sender that the grantor doesn't know.
func (g Grantor) MayRelease(sender string, now time.Time) bool {
	state, known := g.senders[sender]
	if !known || state.readAt.IsZero() {
		return false
	}
	expiry := state.readAt.Add(g.timing.Duration + g.timing.MaxDrift)
	return now.After(expiry) && now.After(state.extendedUntil.Add(g.timing.MaxDrift))
}

// WithReleaseProposed returns the grantor after it proposed the release of a sender as of the sender's
// last known renewal.
func (g Grantor) WithReleaseProposed(sender string) Grantor {
	state := g.senders[sender]
	state.proposedRenewal = state.lastRenewal
	return g.withSender(sender, state)
}

// LastRenewal returns the number of a sender's newest renewal that the grantor has read, or 0 if it
// has read none.
func (g Grantor) LastRenewal(sender string) int {
	return g.senders[sender].lastRenewal
}

// withSender returns the grantor with another state of a sender.
func (g Grantor) withSender(sender string, state senderState) Grantor {
	g.senders = maps.Clone(g.senders)
	g.senders[sender] = state
	return g
}
