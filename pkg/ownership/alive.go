package ownership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
)

// refusalLifetime is how long a refused connection counts as proof that the process has exited.
// After that time the group has dropped the member, or the process has been restarted.
const refusalLifetime = 1500 * time.Millisecond

// refusal records that the address of an incarnation of a node refused a connection.
type refusal struct {
	incarnation int
	at          time.Time
}

// isOwnerAlive reports whether the node that made a claim is probably alive. A wrong result costs a
// needless or a late takeover, but is safe: a later claim fences off the earlier one.
func (o *Ownership) isOwnerAlive(claim cellclaim.Claim) bool {
	switch {
	case claim.HeldBy(o.options.Self):
		return true
	case claim.Released, o.byEarlierIncarnation(claim), o.refusedRecently(claim.Node, claim.Incarnation), o.isLost(claim.Node, claim.Incarnation):
		return false
	case o.state.memberList.Has(claim.Node, claim.Incarnation):
		return true
	}
	return !o.state.memberList.HasLater(claim.Node, claim.Incarnation) && !o.healthOf(claim.Node, claim.Incarnation).cutOffFromStore
}

// byEarlierIncarnation reports whether another incarnation of this node made a claim that isn't
// released.
func (o *Ownership) byEarlierIncarnation(claim cellclaim.Claim) bool {
	return !claim.Released && claim.Node == o.options.Self.Node && claim.Incarnation != o.options.Self.Incarnation
}

// refusedRecently reports whether an incarnation of a node has refused a connection within
// refusalLifetime.
func (o *Ownership) refusedRecently(node string, incarnation int) bool {
	last, known := o.state.refusals[node]
	return known && last.incarnation == incarnation && o.deps.Clock.Since(last.at) < refusalLifetime
}

// liveMembers returns the members that haven't refused a connection recently and aren't lost.
func (o *Ownership) liveMembers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(o.state.memberList.Members()), func(m membership.Member) bool {
		return o.refusedRecently(m.Node, m.Incarnation) || o.isLost(m.Node, m.Incarnation)
	})
}

// recordRefusal records a refused connection, and logs it unless there was one within
// refusalLifetime.
func (o *Ownership) recordRefusal(m connectionRefused, now time.Time) {
	if !o.refusedRecently(m.node, m.incarnation) {
		o.deps.Logger.WithFields(logrus.Fields{"peer": m.node, "incarnation": m.incarnation}).Info("node refuses connections")
	}
	o.state.refusals[m.node] = refusal{incarnation: m.incarnation, at: now}
	o.invalidateRanking()
}
