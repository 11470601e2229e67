// Package lease decides when a sender may send and when a lost one may be
// released. Both sides are pure values; time and messages are passed in. The
// argument stands in docs/design/senders-and-cuts.md.
package lease

import (
	"maps"
	"time"
)

// Timing are the times that all processes of a deployment share.
type Timing struct {
	// Duration is how long a sender goes on after a renewal or a grant.
	Duration time.Duration
	// MaxDrift is the margin by which two clocks may differ over one Length.
	MaxDrift time.Duration
}

// Peer is a hall member whose grant a cut-off sender needs.
type Peer struct {
	Node        string
	Incarnation int // Incarnation.
}

// Holder is the sender's side of its lease. It never changes; its With methods
// return a new one.
type Holder struct {
	terms  Timing
	issued map[int]time.Time
	until  time.Time
	grants map[Peer]time.Time
	ended  map[Peer]bool
	roster []Peer
}

// NewHolder returns a holder that has no lease yet.
func NewHolder(terms Timing) Holder {
	return Holder{terms: terms, issued: map[int]time.Time{}, grants: map[Peer]time.Time{}, ended: map[Peer]bool{}}
}

// WithRenewalIssued notes that renewal seq was issued at a time on the sender's clock.
func (h Holder) WithRenewalIssued(seq int, at time.Time) Holder {
	h.issued = maps.Clone(h.issued)
	h.issued[seq] = at
	delete(h.issued, seq-mostIssued)
	return h
}

// mostIssued bounds the renewals that are remembered while the log takes none.
// To forget an old one only shortens the lease.
const mostIssued = 64

// WithRenewalConfirmed notes that renewal seq was read back from the log, by the
// sender itself or through a peer.
func (h Holder) WithRenewalConfirmed(seq int) Holder {
	at, known := h.issued[seq]
	if !known {
		return h
	}
	if until := at.Add(h.terms.Duration); until.After(h.until) {
		h.until = until
	}
	h.issued = maps.Clone(h.issued)
	maps.DeleteFunc(h.issued, func(older int, _ time.Time) bool { return older <= seq })
	return h
}

// WithPeers notes the members of the sender's hall as last folded.
func (h Holder) WithPeers(roster []Peer) Holder {
	h.roster = roster
	return h
}

// WithExtension notes an extension that was asked for at a time on the sender's
// clock.
func (h Holder) WithExtension(peer Peer, asked time.Time) Holder {
	if until := asked.Add(h.terms.Duration); until.After(h.grants[peer]) {
		h.grants = maps.Clone(h.grants)
		h.grants[peer] = until
	}
	return h
}

// WithPeerExited notes that a peer was seen to have ended: its address refuses
// connections or answers as another incarnation.
//
// It counts only while the peer was still bound by the log's lease or by its
// own grant. Once that has run out the peer may have proposed a release before
// it ended, and the log may take that proposal long after.
func (h Holder) WithPeerExited(peer Peer, seen time.Time) Holder {
	if !seen.Before(h.boundUntil(peer)) {
		return h
	}
	h.ended = maps.Clone(h.ended)
	h.ended[peer] = true
	return h
}

// boundUntil returns the time before which a peer can't have proposed a release.
func (h Holder) boundUntil(peer Peer) time.Time {
	if granted := h.grants[peer]; granted.After(h.until) {
		return granted
	}
	return h.until
}

// MaySend says whether the sender may send at a time on its own clock.
func (h Holder) MaySend(now time.Time) bool {
	return now.Before(h.ValidUntil(now))
}

// ValidUntil returns the time at which the present right to send ends, or the zero
// time when there is none.
func (h Holder) ValidUntil(now time.Time) time.Time {
	if h.until.IsZero() {
		return time.Time{}
	}
	if len(h.roster) == 0 {
		return h.until
	}
	var least time.Time
	for _, peer := range h.roster {
		if h.ended[peer] {
			continue
		}
		if bound := h.boundUntil(peer); least.IsZero() || bound.Before(least) {
			least = bound
		}
	}
	if least.IsZero() {
		// Every peer has ended while it was bound: nobody is left to propose.
		return now.Add(h.terms.Duration)
	}
	return least
}

// CoveredByLog says whether the log's own lease covers a time on the sender's clock.
func (h Holder) CoveredByLog(now time.Time) bool {
	return now.Before(h.until)
}

// PeersExpiringBefore returns the peers whose grant would run out before a time.
func (h Holder) PeersExpiringBefore(before time.Time) []Peer {
	var wanted []Peer
	for _, peer := range h.roster {
		if !h.ended[peer] && h.boundUntil(peer).Before(before) {
			wanted = append(wanted, peer)
		}
	}
	return wanted
}
