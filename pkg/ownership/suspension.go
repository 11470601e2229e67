package ownership

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/liveness"
)

// checkSuspension discards outdated knowledge if the machine has been suspended since the last check:
// requests that look unanswered may have been answered long ago, and cells may have other owners by now.
// So no other node is taken for lost on such evidence, and the claims are read again.
func (o *Ownership) checkSuspension() {
	s := &o.state
	suspended := o.deps.SuspendedTime.Total() - s.suspended
	if suspended < damsonwinch.NegligibleSuspension {
		return
	}
	s.suspended += suspended
	o.deps.Metrics.Add("suspensions", 1)
	o.deps.Metrics.Add("suspended_ms", int(suspended.Milliseconds()))
	o.deps.Logger.WithField("slept_ms", suspended.Milliseconds()).Warn("the machine was suspended")
	for life, health := range s.health {
		health.evidence = liveness.Evidence{}
		s.health[life] = health
	}
	s.confirmedAt = time.Time{}
	o.feed.Refresh()
	o.publishView()
}
