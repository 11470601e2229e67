package ownership

import "time"

// Times until the members of the group are likely to be complete.
const (
	// settleTime lets the other nodes of a starting system join before the first
	// one shares out the cells.
	settleTime = 1500 * time.Millisecond
	// regroupTime lets the members come back whom the group has lost while the store
	// was away, or who were all stopped at once: a call that hangs and the next one.
	regroupTime = callTimeout + joinEvery + 100*time.Millisecond
)

// settledAt returns from when on the members are likely to be complete. Only a list
// of members that was asked for later counts: an older one shows those who were
// the first to come back.
func (o *Ownership) settledAt() time.Time {
	s := &o.state
	pause := settleTime
	if len(s.claims) > 0 && !o.options.FirstStart {
		pause = o.startPause()
	}
	at := s.startedAt.Add(pause)
	if regrouped := s.regroupedAt.Add(regroupTime); regrouped.After(at) {
		return regrouped
	}
	return at
}

// startPause is how long a node that has restarted leaves cells to others, which may
// have been stopped with it: the less it can carry, the longer.
func (o *Ownership) startPause() time.Duration {
	return min(regroupTime, fullPause*fullWeight/time.Duration(max(1, o.options.Self.Weight)))
}

const (
	// fullPause is that time for a node with fullWeight, in thousandths of a core:
	// about as long as nodes that are restarted together differ.
	fullPause  = 60 * time.Millisecond
	fullWeight = 400
)
