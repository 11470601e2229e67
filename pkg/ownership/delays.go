package ownership

import "time"

// Delays after which the list of members is probably complete enough to claim cells by it.
const (
	// startupDelay lets the other nodes of a starting system join before the first one claims cells.
	startupDelay = 1500 * time.Millisecond
	// regroupDelay gives members time to join again if the group dropped them while the store was
	// unreachable, or while all were stopped or suspended at once. It covers a call that hangs and the
	// next call.
	regroupDelay = callTimeout + joinInterval + 100*time.Millisecond
)

// membersSettledAt returns the time from which the list of members is probably complete enough to claim
// cells by it. Only a list that is requested after this time counts: an earlier one holds only the
// first members to come back.
func (o *Ownership) membersSettledAt() time.Time {
	s := &o.state
	delay := startupDelay
	if len(s.claims) > 0 && !o.options.FirstStart {
		delay = o.restartDelay()
	}
	at := s.startedAt.Add(delay)
	if regrouped := s.membersRecoveredAt.Add(regroupDelay); regrouped.After(at) {
		return regrouped
	}
	return at
}

// restartDelay returns how long a restarted node waits before it claims cells. It leaves them to other
// nodes that may have been stopped together with it: the less weight the node has, the longer it waits.
func (o *Ownership) restartDelay() time.Duration {
	return min(regroupDelay, referenceDelay*referenceWeight/time.Duration(max(1, o.options.Self.Weight)))
}

const (
	// referenceDelay is the restart delay of a node with referenceWeight, which is in thousandths of a
	// core. Nodes that are restarted together start about this far apart.
	referenceDelay  = 60 * time.Millisecond
	referenceWeight = 400
)
