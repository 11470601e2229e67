package owner

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/wire"
)

// newIdle returns an owner whose task doesn't run.
func newIdle(clock clockwork.Clock) *Owner {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	o := &Owner{
		deps: Deps{Clock: clock, Logger: logger, Metrics: metrics.New()}, cell: cell.New(cell.Options{EndedJobRetention: time.Minute}, 1),
		calls: map[int]chan<- wire.JobReply{},
	}
	return o
}

// submission is a call that came some time ago.
func submission(id string, at time.Time, reply chan<- wire.JobReply) clientCall {
	spec := wire.JobSpec{Text: "text", Phases: []wire.Phase{{Count: 1, Cpu: 1000, EstimateMs: 500}}}
	return clientCall{args: wire.JobArgs{Id: id, Queue: "queue", Spec: &spec}, at: at, reply: reply}
}

// TestAnOwnerThatCannotKeepUpRefusesNewJobs at a slow store under five times the demand:
// submissions waited 2 s in its inbox, and each one taken made the next wait longer. Those
// of jobs that it knows, and cancels, are taken however late they come.
func TestAnOwnerThatCannotKeepUpRefusesNewJobs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o, now := newIdle(clock), clock.Now()
	replies := make(chan wire.JobReply, 4)

	submission("a", now.Add(-20*time.Millisecond), replies).apply(o, now)
	assert.Equal(t, len(replies), 0, "it waits for its record")
	assert.Assert(t, o.cell.HasJob("a"))

	submission("b", now.Add(-2*time.Second), replies).apply(o, now)
	refused := <-replies
	assert.Equal(t, refused.Outcome, wire.JobOutcomeRefused)
	assert.Assert(t, refused.RetryAfterMs >= 700 && refused.RetryAfterMs <= 2000, "%d ms", refused.RetryAfterMs)
	assert.Assert(t, !o.cell.HasJob("b"), "what is refused never runs")

	submission("a", now.Add(-2*time.Second), replies).apply(o, now)
	assert.Equal(t, len(replies), 0, "a job that may run is not said to be refused")
	late := submission("a", now.Add(-2*time.Second), replies)
	late.cancel = true
	late.apply(o, now)
	assert.Equal(t, len(replies), 0)
	assert.Equal(t, o.deps.Metrics.Count("submissions_refused_behind"), 1)
}

// TestRefusedClientsAreSpread over the time in which they come back.
func TestRefusedClientsAreSpread(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o, now := newIdle(clock), clock.Now()
	seconds := map[int]int{}
	for number := range 200 {
		replies := make(chan wire.JobReply, 1)
		submission(string(rune('a'+number%26))+string(rune('A'+number/26)), now.Add(-time.Second), replies).apply(o, now)
		seconds[((<-replies).RetryAfterMs+999)/1000]++
	}
	assert.Assert(t, seconds[1] > 20 && seconds[2] > 20, "%v", seconds)
}
