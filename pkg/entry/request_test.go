package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// TestRefusalAfterSendIsReportedAsUnknown: the first attempt of a repeatable request was sent and not
// answered, and the second was refused. The request may have run.
func TestRefusalAfterSendIsReportedAsUnknown(t *testing.T) {
	refused := Response{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "refused elsewhere"}
	sent, unsent := &execution{maybeSent: true}, &execution{}

	assert.Equal(t, sent.accountForEarlierSends(refused).Outcome, wire.OutcomeUnknown)
	assert.Equal(t, sent.accountForEarlierSends(refused).Status, http.StatusBadGateway)
	assert.Equal(t, unsent.accountForEarlierSends(refused).Outcome, wire.OutcomeNotRun)
	answered := Response{Outcome: wire.OutcomeAnswered, Status: http.StatusOK}
	assert.Equal(t, sent.accountForEarlierSends(answered).Outcome, wire.OutcomeAnswered)
}

// TestNothingIsSentIfLeaseEndsAfterGrant: the process is suspended after a request was granted a box,
// and the lease runs out meanwhile. The request must not be sent.
func TestNothingIsSentIfLeaseEndsAfterGrant(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &Entry{deps: Deps{Clock: clock, Invariants: invariant.New(func(name, detail string) { t.Fatal(name, detail) })}, ctx: ctx, inbox: make(chan any, 1)}
	until := clock.Now().Add(time.Second)
	e.leaseValidUntil.Store(&until)
	granted := &execution{entry: e, request: Request{ID: "r", Deadline: clock.Now().Add(time.Minute)}, tried: map[string]bool{}}
	assert.Assert(t, e.leaseValid())
	clock.Advance(time.Second)

	// If the request were sent, this would panic: the entry has no client for endpoints.
	response, final := granted.attempt(ctx, grant{box: "b", address: "127.0.0.1:1"})

	assert.Equal(t, response.Outcome, wire.OutcomeNotRun)
	assert.Assert(t, !final, "the response is final although another entry may run the request")
	assert.Assert(t, !granted.maybeSent)
	finished := (<-e.inbox).(finishMessage)
	assert.Assert(t, finished.report.unused)
}

// TestRequestsBeyondMemoryLimitAreRefused checks that a request which exceeds the entry's memory limit
// is refused, and that one of the same size is accepted once others have ended.
func TestRequestsBeyondMemoryLimitAreRefused(t *testing.T) {
	const kilobytes = 64
	e := &Entry{deps: Deps{Settings: settings.Entry{QueueKb: kilobytes}, Metrics: metrics.New()}}
	release, refused := e.reserveMemory(kilobytes*bytesPerKilobyte - 10)
	assert.Assert(t, refused == nil)

	_, refused = e.reserveMemory(11)

	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	assert.Assert(t, refused.retryAfter > 0)
	assert.Equal(t, e.heldBytes.Load(), int64(kilobytes*bytesPerKilobyte-10))
	release()
	_, refused = e.reserveMemory(11)
	assert.Assert(t, refused == nil)
}
