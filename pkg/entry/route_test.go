package entry

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/queue"
)

const testPool = "pool"

// entryWithWaitingRequest returns an entry that has a waiting request and no box for it, and the channel
// on which the request gets its grant. others are the routes to entries that have boxes of the pool.
func entryWithWaitingRequest(forwarded bool, others ...route) (*Entry, chan grant) {
	e := &Entry{deps: Deps{Clock: clockwork.NewFakeClock(), Metrics: metrics.New()}}
	e.loopState = e.newLoopState()
	e.routes[testPool] = others
	reply := make(chan grant, 1)
	item := queue.Item{ID: "r", Service: "s", Customer: "t", Size: 1}
	e.requests[item.ID] = &requestState{item: item, forwarded: forwarded, pool: testPool, reply: reply}
	e.usage(item.Service).requestsByCustomer[item.Customer]++
	e.queue(testPool).Push(item)
	return e, reply
}

func otherEntry() route {
	return route{key: fleetstate.SenderKey{Node: "other", Incarnation: 1}, address: "127.0.0.1:1", slots: 8}
}

// TestWaitingRequestsFollowHandedOverBoxes: the entry's boxes were handed over to another entry while a
// request waited for them. The request is forwarded to that entry.
func TestWaitingRequestsFollowHandedOverBoxes(t *testing.T) {
	e, reply := entryWithWaitingRequest(false, otherEntry())

	e.reroute()

	assert.Equal(t, (<-reply).forwardTo, otherEntry().key)
	assert.Equal(t, e.queue(testPool).Total(), 0)
	assert.Equal(t, len(e.requests)+len(e.usage("s").requestsByCustomer), 0)
}

// TestForwardedRequestIsNotForwardedAgain: a request that another entry has forwarded is refused, so that
// it goes back to that entry.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	e, reply := entryWithWaitingRequest(true, otherEntry())

	e.reroute()

	granted := <-reply
	assert.Assert(t, granted.forwardTo.IsNone())
	assert.Equal(t, granted.refusal.status, http.StatusServiceUnavailable)
	assert.Equal(t, e.queue(testPool).Total(), 0)
}

// TestRequestsWaitIfNoEntryHasBoxes: a request for a pool to which no entry can send stays in its queue.
func TestRequestsWaitIfNoEntryHasBoxes(t *testing.T) {
	e, reply := entryWithWaitingRequest(false)

	e.reroute()

	assert.Equal(t, len(reply), 0)
	assert.Equal(t, e.queue(testPool).Total(), 1)
}
