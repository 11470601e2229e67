package front

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

// TestALaterRefusalDoesNotHideAnEarlierSend: a repeatable request was sent, broke
// off, and its second try was refused. It may have run.
func TestALaterRefusalDoesNotHideAnEarlierSend(t *testing.T) {
	refused := Response{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "refused elsewhere"}
	sent, unsent := &execution{maybeSent: true}, &execution{}

	assert.Equal(t, sent.accountForEarlierSends(refused).Outcome, wire.OutcomeUnknown)
	assert.Equal(t, sent.accountForEarlierSends(refused).Status, http.StatusBadGateway)
	assert.Equal(t, unsent.accountForEarlierSends(refused).Outcome, wire.OutcomeNotRun)
	answered := Response{Outcome: wire.OutcomeAnswered, Status: http.StatusOK}
	assert.Equal(t, sent.accountForEarlierSends(answered).Outcome, wire.OutcomeAnswered)
}

// TestAPauseBetweenGrantAndSend: the process stood still after it was granted a
// box, and its lease ran out meanwhile. Nothing may be sent.
func TestAPauseBetweenGrantAndSend(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &Entry{deps: Deps{Clock: clock, Invariants: invariant.New(func(name, detail string) { t.Fatal(name, detail) })}, ctx: ctx, inbox: make(chan any, 1)}
	until := clock.Now().Add(time.Second)
	e.leaseValidUntil.Store(&until)
	waiting := &execution{entry: e, request: Request{ID: "r", Deadline: clock.Now().Add(time.Minute)}, tried: map[string]bool{}}
	assert.Assert(t, e.leaseValid())
	clock.Advance(time.Second)

	// Without the check this would panic: the entry has nothing to send with.
	outcome, final := waiting.attempt(ctx, grant{box: "b", address: "127.0.0.1:1"})

	assert.Equal(t, outcome.Outcome, wire.OutcomeNotRun)
	assert.Assert(t, !final, "another sender may still take it")
	assert.Assert(t, !waiting.maybeSent)
	given := (<-e.inbox).(finishMessage)
	assert.Assert(t, given.report.unused)
}

// TestMemoryIsBounded refuses what an entry may not hold, and takes it once there
// is room again.
func TestMemoryIsBounded(t *testing.T) {
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
