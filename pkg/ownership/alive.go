package ownership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/liveness"
	"damsonwinch/pkg/membership"
)

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

// refusedRecently reports whether an incarnation of a node has refused a connection so recently that it has
// certainly exited.
func (o *Ownership) refusedRecently(node string, incarnation int) bool {
	return o.state.refusals[node].ProvesExit(incarnation, o.deps.Clock.Now())
}

// liveMembers returns the members that haven't refused a connection recently and aren't lost.
func (o *Ownership) liveMembers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(o.state.memberList.Members()), func(m membership.Member) bool {
		return o.refusedRecently(m.Node, m.Incarnation) || o.isLost(m.Node, m.Incarnation)
	})
}

// recordRefusal records a refused connection, and logs it unless there was one recently.
func (o *Ownership) recordRefusal(m connectionRefused, now time.Time) {
	if !o.refusedRecently(m.node, m.incarnation) {
		o.deps.Logger.WithFields(logrus.Fields{"peer": m.node, "incarnation": m.incarnation}).Info("node refuses connections")
	}
	o.state.refusals[m.node] = liveness.NewRefusal(m.incarnation, now)
	o.invalidateRanking()
}
