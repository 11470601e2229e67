package front

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/queue"
)

const testPool = "pool"

// waitingAt returns an entry that has a waiting request and no box for it, and
// where the request's answer goes. Another sender may have boxes of the pool.
func waitingAt(hop bool, others ...route) (*Entry, chan grant) {
	f := &Entry{deps: Deps{Clock: clockwork.NewFakeClock(), Metrics: metrics.New()}}
	f.loop = f.newLoop()
	f.routes[testPool] = others
	reply := make(chan grant, 1)
	item := queue.Item{ID: "r", Service: "s", Customer: "t", Size: 1}
	f.jobs[item.ID] = &job{item: item, hop: hop, pool: testPool, reply: reply}
	f.usage(item.Service).teams[item.Customer]++
	f.queue(testPool).Push(item)
	return f, reply
}

func another() route {
	return route{key: fold.SenderKey{Node: "other", Incarnation: 1}, address: "127.0.0.1:1", slots: 8}
}

// TestWaitingRequestsGoWhereTheBoxesWent: the entry's boxes were handed over
// while requests waited for them.
func TestWaitingRequestsGoWhereTheBoxesWent(t *testing.T) {
	f, reply := waitingAt(false, another())

	f.reroute()

	assert.Equal(t, (<-reply).forward, another().key)
	assert.Equal(t, f.queue(testPool).Total(), 0)
	assert.Equal(t, len(f.jobs)+len(f.usage("s").teams), 0)
}

// TestARequestIsSentOnOnlyOnce: one that came from another entry goes back there,
// not run.
func TestARequestIsSentOnOnlyOnce(t *testing.T) {
	f, reply := waitingAt(true, another())

	f.reroute()

	granted := <-reply
	assert.Assert(t, granted.forward.IsNone())
	assert.Equal(t, granted.refusal.status, http.StatusServiceUnavailable)
	assert.Equal(t, f.queue(testPool).Total(), 0)
}

// TestWithoutAnotherSenderRequestsWait for a box to come back.
func TestWithoutAnotherSenderRequestsWait(t *testing.T) {
	f, reply := waitingAt(false)

	f.reroute()

	assert.Equal(t, len(reply), 0)
	assert.Equal(t, f.queue(testPool).Total(), 1)
}
