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
	refused := Outcome{Outcome: wire.OutcomeNotRun, Status: http.StatusUnprocessableEntity, Reason: "refused elsewhere"}
	sent, unsent := &trip{sent: true}, &trip{}

	assert.Equal(t, sent.honest(refused).Outcome, wire.OutcomeUnknown)
	assert.Equal(t, sent.honest(refused).Status, http.StatusBadGateway)
	assert.Equal(t, unsent.honest(refused).Outcome, wire.OutcomeNotRun)
	answered := Outcome{Outcome: wire.OutcomeAnswered, Status: http.StatusOK}
	assert.Equal(t, sent.honest(answered).Outcome, wire.OutcomeAnswered)
}

// TestAPauseBetweenGrantAndSend: the process stood still after it was granted a
// box, and its lease ran out meanwhile. Nothing may be sent.
func TestAPauseBetweenGrantAndSend(t *testing.T) {
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &Entry{deps: Deps{Clock: clock, Invariants: invariant.New(func(name, detail string) { t.Fatal(name, detail) })}, ctx: ctx, inbox: make(chan any, 1)}
	until := clock.Now().Add(time.Second)
	f.sendUntil.Store(&until)
	waiting := &trip{front: f, request: Request{ID: "r", Deadline: clock.Now().Add(time.Minute)}, tried: map[string]bool{}}
	assert.Assert(t, f.covered())
	clock.Advance(time.Second)

	// Without the check this would panic: the entry has nothing to send with.
	outcome, final := waiting.attempt(ctx, grant{box: "b", address: "127.0.0.1:1"})

	assert.Equal(t, outcome.Outcome, wire.OutcomeNotRun)
	assert.Assert(t, !final, "another sender may still take it")
	assert.Assert(t, !waiting.sent)
	given := (<-f.inbox).(finishMessage)
	assert.Assert(t, given.report.unused)
}

// TestMemoryIsBounded refuses what an entry may not hold, and takes it once there
// is room again.
func TestMemoryIsBounded(t *testing.T) {
	const kilobytes = 64
	f := &Entry{deps: Deps{Settings: settings.Entry{QueueKb: kilobytes}, Metrics: metrics.New()}}
	release, refused := f.hold(kilobytes*bytesAKilobyte - 10)
	assert.Assert(t, refused == nil)

	_, refused = f.hold(11)

	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	assert.Assert(t, refused.retryAfter > 0)
	assert.Equal(t, f.held.Load(), int64(kilobytes*bytesAKilobyte-10))
	release()
	_, refused = f.hold(11)
	assert.Assert(t, refused == nil)
}
