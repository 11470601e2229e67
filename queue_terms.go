package damsonwinch

import (
	"time"

	"damsonwinch/pkg/wire"
)

// Terms returns the rules of the queue that bind its jobs.
func (q Queue) Terms() wire.QueueTerms {
	return wire.QueueTerms{
		Priority: q.Priority, MostAttempts: q.MaxAttempts, DeadlineFactor: q.DeadlineFactor, TargetMs: int(q.TargetLatency.Milliseconds()),
		Advice: q.Advice.Terms(),
	}
}

// WithTerms returns a copy of the queue that has the given rules.
func (q Queue) WithTerms(terms wire.QueueTerms) Queue {
	q.Priority, q.MaxAttempts, q.DeadlineFactor = terms.Priority, terms.MostAttempts, terms.DeadlineFactor
	q.TargetLatency, q.Advice = milliseconds(terms.TargetMs), AdviceTimesOf(terms.Advice)
	return q
}

// Terms returns the times as they are recorded and told to other nodes, or nil if there are none.
func (t *AdviceTimes) Terms() *wire.AdviceTerms {
	if t == nil {
		return nil
	}
	return &wire.AdviceTerms{
		CallMs: int(t.CallTime.Milliseconds()), PerEndpointMs: int(t.TimePerEndpoint.Milliseconds()), ValidMs: int(t.PermitTTL.Milliseconds()),
	}
}

// AdviceTimesOf returns the times that Terms has encoded, or nil if there are none.
func AdviceTimesOf(terms *wire.AdviceTerms) *AdviceTimes {
	if terms == nil {
		return nil
	}
	return &AdviceTimes{CallTime: milliseconds(terms.CallMs), TimePerEndpoint: milliseconds(terms.PerEndpointMs), PermitTTL: milliseconds(terms.ValidMs)}
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}
