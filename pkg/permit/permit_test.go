package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/permit"
)

// TestCallsAndValidity guards against a second call while one is in flight, a call just after one that
// failed, and a start with a permit that expires before the request arrives.
func TestCallsAndValidity(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var p permit.Permits
	assert.Assert(t, p.MayAsk(now))
	p.Asked(now)
	assert.Assert(t, !p.MayAsk(now.Add(time.Minute)), "a call is in flight")
	p.Failed()
	assert.Assert(t, !p.MayAsk(now.Add(400*time.Millisecond)), "the last call has just failed")
	assert.Assert(t, p.MayAsk(now.Add(500*time.Millisecond)))

	a, b, unknown := damsonwinch.Life{ID: "a"}, damsonwinch.Life{ID: "b"}, damsonwinch.Life{ID: "unknown"}
	p.Asked(now)
	p.Answered([]damsonwinch.Life{a, b}, []damsonwinch.Permit{{EndpointID: "a", Ticket: "ticket"}}, now.Add(time.Second))
	assert.Assert(t, p.MayAsk(now), "a call about other endpoints may follow at once")
	assert.Assert(t, p.Valid(now, a))
	assert.Assert(t, !p.Valid(now.Add(800*time.Millisecond), a), "the request would arrive too late")
	assert.Assert(t, !p.Refused(a) && p.Refused(b) && !p.Refused(unknown))
	p.Drop(a)
	assert.Equal(t, p.Ticket(a), "")
}

// TestPermitHoldsForOneLifeOnly guards against a start on a later life of an endpoint with the ticket of the
// earlier one, and against barring a later life by a decision on the earlier one.
func TestPermitHoldsForOneLifeOnly(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	a, b := damsonwinch.Life{ID: "a", StartedUnixMs: 1}, damsonwinch.Life{ID: "b", StartedUnixMs: 1}
	var p permit.Permits
	p.Asked(now)
	p.Answered([]damsonwinch.Life{a, b}, []damsonwinch.Permit{{EndpointID: "a", Ticket: "ticket"}}, now.Add(time.Second))
	assert.Assert(t, p.Valid(now, a) && p.Refused(b))

	laterA, laterB := a.WithStarted(2), b.WithStarted(2)
	assert.Assert(t, !p.Valid(now, laterA) && !p.Permitted(laterA) && !p.Refused(laterB))
	assert.Equal(t, p.Ticket(laterA), "")
	p.Drop(laterA)
	assert.Equal(t, p.Ticket(a), "ticket")
}
