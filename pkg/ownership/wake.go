package ownership

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/liveness"
)

// wake forgets, once the machine has been suspended, what this node takes for new: others
// that it had asked have long answered, and cells have other owners. It judges nobody by that,
// and reads the claims anew.
func (o *Ownership) wake() {
	s := &o.state
	slept := o.deps.SuspendedTime.Total() - s.slept
	if slept < damsonwinch.NegligibleSuspension {
		return
	}
	s.slept += slept
	o.deps.Metrics.Add("suspensions", 1)
	o.deps.Metrics.Add("suspended_ms", int(slept.Milliseconds()))
	o.deps.Logger.WithField("slept_ms", slept.Milliseconds()).Warn("the machine was suspended")
	for node, known := range s.proofs {
		known.evidence = liveness.Evidence{}
		s.proofs[node] = known
	}
	s.confirmed = time.Time{}
	o.feed.Refresh()
	o.publish()
}
