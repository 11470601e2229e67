package ownership

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// refusalTime is how long a refused connection shows that a process has ended. By then
// the group has noticed, or it has been started anew.
const refusalTime = 1500 * time.Millisecond

// refusal is a connection that the address of a node's life refused.
type refusal struct {
	incarnation int
	at          time.Time
}

// alive says whether a claim's maker probably lives. Being wrong costs a takeover or a
// wait: a later claim shuts out the earlier one.
func (o *Ownership) alive(claim Claim) bool {
	switch {
	case claim.HeldBy(o.options.Self):
		return true
	case claim.Released, o.ofEarlierLife(claim), o.refused(claim.Node, claim.Incarnation), o.silent(claim.Node, claim.Incarnation):
		return false
	case o.state.roster.lists(claim):
		return true
	}
	return !o.state.roster.listsLater(claim) && !o.proofOf(claim.Node, claim.Incarnation).storeless
}

// ofEarlierLife says whether an earlier life of this node made a claim.
func (o *Ownership) ofEarlierLife(claim Claim) bool {
	return !claim.Released && claim.Node == o.options.Self.Node && claim.Incarnation != o.options.Self.Incarnation
}

// refused says whether a node's life has refused a connection of late.
func (o *Ownership) refused(node string, incarnation int) bool {
	seen, known := o.state.refusals[node]
	return known && seen.incarnation == incarnation && o.deps.Clock.Since(seen.at) < refusalTime
}

// livingMembers returns the members that are not known to have ended.
func (o *Ownership) livingMembers() []Member {
	return slices.DeleteFunc(slices.Clone(o.state.roster.members), func(m Member) bool {
		return o.refused(m.Node, m.Incarnation) || o.silent(m.Node, m.Incarnation)
	})
}

// suspect takes note of a refused connection.
func (o *Ownership) suspect(m suspected, now time.Time) {
	if !o.refused(m.node, m.incarnation) {
		o.deps.Logger.WithFields(logrus.Fields{"peer": m.node, "incarnation": m.incarnation}).Info("node refuses connections")
	}
	o.state.refusals[m.node] = refusal{incarnation: m.incarnation, at: now}
	o.state.watchedOld = true
}
