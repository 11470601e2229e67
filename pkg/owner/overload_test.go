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

// newUnstartedOwner returns an owner whose goroutine doesn't run. The test itself applies the messages.
func newUnstartedOwner(clock clockwork.Clock) *Owner {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	o := &Owner{
		deps: Deps{Clock: clock, Logger: logger, Metrics: metrics.New()}, cell: cell.New(cell.Options{EndedJobRetention: time.Minute}, 1),
		pendingCalls: map[int]chan<- wire.JobReply{},
	}
	return o
}

// submission returns a client's call that reached the owner at the given time.
func submission(id string, at time.Time, reply chan<- wire.JobReply) jobChange {
	spec := wire.JobSpec{Text: "text", Phases: []wire.Phase{{Count: 1, Cpu: 1000, EstimateMs: 500}}}
	return jobChange{args: wire.JobArgs{Id: id, Queue: "queue", Spec: &spec}, receivedAt: at, reply: reply}
}

// With a slow store and five times the usual load, submissions waited in the inbox for 2 s, and each one
// that was accepted made the next ones wait longer. Therefore submissions that have waited too long are
// refused. Submissions of jobs that the cell already has, and cancellations, are never refused for that
// reason.
func TestOverloadedOwnerRefusesNewJobs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o, now := newUnstartedOwner(clock), clock.Now()
	replies := make(chan wire.JobReply, 4)

	submission("a", now.Add(-20*time.Millisecond), replies).apply(o, now)
	assert.Equal(t, len(replies), 0, "the reply waits until the job is stored")
	assert.Assert(t, o.cell.HasJob("a"))

	submission("b", now.Add(-2*time.Second), replies).apply(o, now)
	refused := <-replies
	assert.Equal(t, refused.Outcome, wire.JobOutcomeRefused)
	assert.Assert(t, refused.RetryAfterMs >= 700 && refused.RetryAfterMs <= 2000, "%d ms", refused.RetryAfterMs)
	assert.Assert(t, !o.cell.HasJob("b"), "a refused job must not be in the cell")

	submission("a", now.Add(-2*time.Second), replies).apply(o, now)
	assert.Equal(t, len(replies), 0, "a job that the cell has must not be refused")
	late := submission("a", now.Add(-2*time.Second), replies)
	late.cancel = true
	late.apply(o, now)
	assert.Equal(t, len(replies), 0)
	assert.Equal(t, o.deps.Metrics.Count("submissions_refused_behind"), 1)
}

// If all refused clients retried at the same time, they would overload the owner again.
func TestRetriesOfRefusedClientsAreSpread(t *testing.T) {
	clock := clockwork.NewFakeClock()
	o, now := newUnstartedOwner(clock), clock.Now()
	seconds := map[int]int{}
	for number := range 200 {
		replies := make(chan wire.JobReply, 1)
		submission(string(rune('a'+number%26))+string(rune('A'+number/26)), now.Add(-time.Second), replies).apply(o, now)
		seconds[((<-replies).RetryAfterMs+999)/1000]++
	}
	assert.Assert(t, seconds[1] > 20 && seconds[2] > 20, "%v", seconds)
}
