// Package lease decides when a sender may send requests to boxes, and when a lost sender may be
// released so that others get its boxes. Holder is the sender's side, Grantor that of the keepers in
// the sender's zone. Both are immutable values that do no I/O and read no clock.
//
// A sender holds a lease from the log, which it renews by appending to the log. While it is cut off
// from the log, it goes on with extensions that the keepers of its zone grant. A keeper may propose
// the release of a sender only after the lease and all extensions that the keeper granted have run
// out. docs/design/senders-and-cuts.md shows why a released sender can't send.
package lease

import (
	"maps"
	"time"
)

// Timing holds the times that all processes of a deployment must agree on.
type Timing struct {
	// Duration is how long a renewal or an extension lasts.
	Duration time.Duration
	// MaxDrift is by how much two clocks may drift apart during one Duration.
	MaxDrift time.Duration
}

// Peer is a keeper of the sender's zone. A sender that is cut off from the log needs extensions from
// all of them.
type Peer struct {
	// Node is the name of the keeper's node.
	Node string
	// Incarnation tells the runs of the keeper's process apart.
	Incarnation int
}

// Holder is the sender's side of its lease. It is immutable: its With methods return a new one.
type Holder struct {
	timing Timing
	// issuedAt holds, by number, when each renewal was issued that isn't confirmed yet.
	issuedAt map[int]time.Time
	// logLeaseUntil is when the lease from the log ends.
	logLeaseUntil time.Time
	// extendedUntil holds when the newest extension of each peer ends.
	extendedUntil map[Peer]time.Time
	// exited holds the peers that count as exited.
	exited map[Peer]bool
	// peers are the keepers of the sender's zone.
	peers []Peer
}

// New returns a Holder that has no lease yet.
func New(timing Timing) Holder {
	return Holder{timing: timing, issuedAt: map[int]time.Time{}, extendedUntil: map[Peer]time.Time{}, exited: map[Peer]bool{}}
}

// WithRenewalIssued returns the holder after the sender issued the renewal with the given number, at
// a time on its own clock. Later renewals have higher numbers.
func (h Holder) WithRenewalIssued(renewal int, at time.Time) Holder {
	h.issuedAt = maps.Clone(h.issuedAt)
	h.issuedAt[renewal] = at
	delete(h.issuedAt, renewal-maxIssuedRenewals)
	return h
}

// maxIssuedRenewals is the number of renewals that are remembered while the log accepts none.
// Forgetting an old one only makes the lease shorter.
const maxIssuedRenewals = 64

// WithRenewalConfirmed returns the holder after the renewal with the given number was read back from
// the log, by the sender itself or through a peer. The lease then lasts for Timing.Duration from the
// time at which that renewal was issued.
func (h Holder) WithRenewalConfirmed(renewal int) Holder {
	at, known := h.issuedAt[renewal]
	if !known {
		return h
	}
	if until := at.Add(h.timing.Duration); until.After(h.logLeaseUntil) {
		h.logLeaseUntil = until
	}
	h.issuedAt = maps.Clone(h.issuedAt)
	maps.DeleteFunc(h.issuedAt, func(older int, _ time.Time) bool { return older <= renewal })
	return h
}

// WithPeers returns the holder with the keepers of the sender's zone, as the sender's applied state
// lists them.
func (h Holder) WithPeers(peers []Peer) Holder {
	h.peers = peers
	return h
}

// WithExtension returns the holder after a peer granted an extension that was requested at a time on
// the sender's clock. The extension lasts for Timing.Duration from that time.
func (h Holder) WithExtension(peer Peer, requestedAt time.Time) Holder {
	if until := requestedAt.Add(h.timing.Duration); until.After(h.extendedUntil[peer]) {
		h.extendedUntil = maps.Clone(h.extendedUntil)
		h.extendedUntil[peer] = until
	}
	return h
}

// WithPeerExited returns the holder after the sender saw, at a time on its clock, that a peer has
// exited: the peer's address refuses connections or answers as another incarnation.
//
// The exit counts only if it was seen while the lease from the log or the peer's own extension still
// lasted. After that the peer may have proposed a release before it exited, and the log may accept the
// proposal long after.
func (h Holder) WithPeerExited(peer Peer, seenAt time.Time) Holder {
	if !seenAt.Before(h.earliestRelease(peer)) {
		return h
	}
	h.exited = maps.Clone(h.exited)
	h.exited[peer] = true
	return h
}

// earliestRelease returns the earliest time at which a peer may propose the sender's release: when both
// the lease from the log and the peer's own extension have run out.
func (h Holder) earliestRelease(peer Peer) time.Time {
	if extended := h.extendedUntil[peer]; extended.After(h.logLeaseUntil) {
		return extended
	}
	return h.logLeaseUntil
}

// MaySend reports whether the sender may send at a time on its own clock.
func (h Holder) MaySend(now time.Time) bool {
	return now.Before(h.ValidUntil(now))
}

// ValidUntil returns when the sender must stop sending unless the lease is renewed or extended. It
// returns the zero time if there has been no lease, and the time Timing.Duration after now if all
// peers have exited.
func (h Holder) ValidUntil(now time.Time) time.Time {
	if h.logLeaseUntil.IsZero() {
		return time.Time{}
	}
	if len(h.peers) == 0 {
		return h.logLeaseUntil
	}
	var earliest time.Time
	for _, peer := range h.peers {
		if h.exited[peer] {
			continue
		}
		if release := h.earliestRelease(peer); earliest.IsZero() || release.Before(earliest) {
			earliest = release
		}
	}
	if earliest.IsZero() {
		// All peers exited before they could propose a release, so none will come.
		return now.Add(h.timing.Duration)
	}
	return earliest
}

// CoveredByLog reports whether the lease from the log covers a time on the sender's clock, without
// extensions.
func (h Holder) CoveredByLog(now time.Time) bool {
	return now.Before(h.logLeaseUntil)
}

// PeersExpiringBefore returns the peers that may propose a release before a given time. The sender
// needs extensions from them to send until then.
func (h Holder) PeersExpiringBefore(limit time.Time) []Peer {
	var expiring []Peer
	for _, peer := range h.peers {
		if !h.exited[peer] && h.earliestRelease(peer).Before(limit) {
			expiring = append(expiring, peer)
		}
	}
	return expiring
}
