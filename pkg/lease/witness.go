package lease

import (
	"maps"
	"time"
)

// sight is what a witness knows of one sender.
type sight struct {
	seq      int
	read     time.Time
	promised time.Time
	// proposed is the renewal upon which the witness has proposed a release;
	// the proposal may land in the log at any later time.
	proposed int
}

// Grantor is a keeper's side: what it has promised to senders of its hall, and
// when it may propose their release. It never changes; its With methods return
// a new one.
type Grantor struct {
	terms  Timing
	sights map[string]sight
}

// NewGrantor returns a witness that has seen nothing. It is not named New
// because a package has one of those and the holder is the first part.
func NewGrantor(terms Timing) Grantor {
	return Grantor{terms: terms, sights: map[string]sight{}}
}

// WithRenewalRead notes that renewal seq of a sender was read from the log at a time on
// the witness's clock.
func (w Grantor) WithRenewalRead(sender string, seq int, at time.Time) Grantor {
	known, seen := w.sights[sender]
	if seen && seq <= known.seq {
		return w
	}
	known.seq, known.read = seq, at
	return w.with(sender, known)
}

// WithoutSender forgets a sender that the log has released.
func (w Grantor) WithoutSender(sender string) Grantor {
	if _, known := w.sights[sender]; !known {
		return w
	}
	w.sights = maps.Clone(w.sights)
	delete(w.sights, sender)
	return w
}

// Senders returns the names of the senders that the witness has seen.
func (w Grantor) Senders() []string {
	names := make([]string, 0, len(w.sights))
	for name := range w.sights {
		names = append(names, name)
	}
	return names
}

// Extend answers a sender's wish for an extension. It is denied while a release
// proposal upon the sender's last known renewal may still land, and to a sender
// that the log doesn't show: it may have been released without knowing it.
func (w Grantor) Extend(sender string, now time.Time) (Grantor, bool) {
	known, seen := w.sights[sender]
	if !seen || known.proposed != 0 && known.proposed >= known.seq {
		return w, false
	}
	known.promised = now.Add(w.terms.Duration)
	return w.with(sender, known), true
}

// MayRelease says whether the witness has waited out the sender's last renewal
// and every extension it granted.
func (w Grantor) MayRelease(sender string, now time.Time) bool {
	known, seen := w.sights[sender]
	if !seen || known.read.IsZero() {
		return false
	}
	waited := known.read.Add(w.terms.Duration + w.terms.MaxDrift)
	return now.After(waited) && now.After(known.promised.Add(w.terms.MaxDrift))
}

// WithReleaseProposed notes that a release upon the sender's last known renewal is on
// its way to the log.
func (w Grantor) WithReleaseProposed(sender string) Grantor {
	known := w.sights[sender]
	known.proposed = known.seq
	return w.with(sender, known)
}

// LastRenewal returns the sender's last renewal that the witness has read.
func (w Grantor) LastRenewal(sender string) int {
	return w.sights[sender].seq
}

func (w Grantor) with(sender string, known sight) Grantor {
	w.sights = maps.Clone(w.sights)
	w.sights[sender] = known
	return w
}
