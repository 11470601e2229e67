package entry

import (
	"fmt"
	"net/http"
	"time"

	"damsonwinch/pkg/apportion"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// refusal says why a request is not run.
type refusal struct {
	// status is an HTTP status.
	status int
	// reason is a sentence for the client.
	reason string
	// retryAfter is the time after which the client may try again, or noRetryAfter.
	retryAfter time.Duration
}

// newRefusal returns a refusal whose reason is fmt.Sprintf(format, args...).
func newRefusal(status int, retryAfter time.Duration, format string, args ...any) *refusal {
	return &refusal{status: status, retryAfter: retryAfter, reason: fmt.Sprintf(format, args...)}
}

// grant is the loop's reply to a request that asks for a box. It is one of three: a refusal, a box with
// the address of its endpoint, or another entry to forward the request to, with that entry's RPC address.
type grant struct {
	refusal *refusal
	box     string
	address string
	// row is the row of the request's service. It is not set in a refusal.
	row       settings.Row
	forwardTo fleetstate.SenderKey
}

// requestState is what the loop keeps of a request that waits in a queue or has been granted a box.
type requestState struct {
	item queue.Item
	// tried holds the names of the boxes and the sender keys of the entries that were tried.
	tried map[string]bool
	// forwarded says that another entry has forwarded the request to this one.
	forwarded bool
	reply     chan<- grant
	box       string // The granted box; empty while the request waits.
	pool      string // The pool in whose queue the request waits or waited.
	startedAt time.Time
}

// usage counts what a service uses at this entry.
type usage struct {
	// slots is the number of slots that the service's requests use on this entry's boxes.
	slots int
	// requestsByCustomer is the number of the service's requests, waiting or running, by customer.
	requestsByCustomer map[string]int
}

// Times after which refused clients may try again.
const (
	// minRetryAfter and maxRetryAfter bound the estimate for a client that finds a queue full.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// unavailableRetryAfter is the time if it can't be estimated when the request could run.
	unavailableRetryAfter = time.Second
	// noRetryAfter says that a new try of the same request would be refused as well.
	noRetryAfter = 0
)

// admit decides on a request: it refuses it, forwards it to another entry, grants it a box at once or
// puts it into the queue of its pool.
func (e *Entry) admit(m acquireMessage) {
	row, known := e.state.Table().Row(m.item.Service)
	if !known {
		m.reply <- grant{refusal: newRefusal(http.StatusNotFound, noRetryAfter, "service %q is not in the table", m.item.Service)}
		return
	}
	if largest := e.maxBoxSlots(row.Pool); largest > 0 && m.item.Size > largest {
		m.reply <- grant{refusal: newRefusal(http.StatusUnprocessableEntity, noRetryAfter,
			"the request needs %d slots at once; the largest box of pool %s has %d", m.item.Size, row.Pool, largest)}
		return
	}
	if len(m.tried) == 0 {
		e.earnRetry(m.item.Service)
	}
	if e.tryForward(m, row) {
		return
	}
	if refused := e.checkLimits(m.item, row); refused != nil {
		m.reply <- grant{refusal: refused}
		return
	}
	e.enqueue(m, row)
	e.dispatch(row.Pool)
	e.refuseIfQueueFull(m.item.ID, row)
}

// checkLimits returns a refusal if this entry can't send to the request's pool, or if the customer has as
// many requests here as this entry's share of the customer's quota allows. Otherwise it returns nil.
func (e *Entry) checkLimits(item queue.Item, row settings.Row) *refusal {
	if !e.canSendTo(row.Pool) {
		return e.noBoxRefusal(row.Pool)
	}
	for _, quota := range row.Quotas {
		if quota.Team != item.Customer {
			continue
		}
		share := max(1, e.limitShare(quota.Most, row.Pool))
		if e.usage(item.Service).requestsByCustomer[item.Customer] >= share {
			return newRefusal(http.StatusTooManyRequests, e.estimateRetryAfter(item.Service, row.Pool),
				"customer %s has %d requests at this entry, whose share of the quota of %d is %d", item.Customer, share, quota.Most, share)
		}
	}
	return nil
}

// noBoxRefusal returns the refusal of a request for a pool to which this entry can't send.
func (e *Entry) noBoxRefusal(pool string) *refusal {
	return newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "this entry can't send to any box of pool %s now", pool)
}

// canSendTo reports whether this entry holds its lease and has a serving box of the pool.
func (e *Entry) canSendTo(pool string) bool {
	if !e.lease.holder.MaySend(e.now()) {
		return false
	}
	for _, box := range e.ownBoxes(pool) {
		if box.Phase == fleetstate.Serving {
			return true
		}
	}
	return false
}

// maxBoxSlots returns the slots of the largest of this entry's boxes of the pool, or of the pool's
// largest box if the entry has none. It returns 0 if the pool has no boxes.
func (e *Entry) maxBoxSlots(pool string) int {
	largest := 0
	for _, box := range e.ownBoxes(pool) {
		largest = max(largest, box.Info.Slots)
	}
	if largest > 0 {
		return largest
	}
	for _, box := range e.state.Boxes() {
		if box.Pool == pool {
			largest = max(largest, box.Info.Slots)
		}
	}
	return largest
}

// computeLimitShare divides a limit, total, on a pool among the entries that have boxes of the pool, in
// proportion to their slots there, and returns this entry's share.
func (e *Entry) computeLimitShare(total int, pool string) int {
	weights := []int{e.ownSlots(pool)}
	index := 0
	for _, other := range e.routes[pool] {
		if other.key.String() < e.key.String() {
			index++
		}
	}
	weights = weights[:0]
	for _, other := range e.routes[pool] {
		if len(weights) == index {
			weights = append(weights, e.ownSlots(pool))
		}
		weights = append(weights, other.slots)
	}
	if len(weights) == index {
		weights = append(weights, e.ownSlots(pool))
	}
	return apportion.Share(total, weights, index)
}

// usage returns the usage of a service. It adds an empty one if there is none.
func (e *Entry) usage(service string) *usage {
	if e.usages[service] == nil {
		e.usages[service] = &usage{requestsByCustomer: map[string]int{}}
	}
	return e.usages[service]
}

// enqueue puts a request into the queue of its service's pool.
func (e *Entry) enqueue(m acquireMessage, row settings.Row) {
	e.requests[m.item.ID] = &requestState{item: m.item, tried: m.tried, forwarded: m.forwarded, reply: m.reply, pool: row.Pool}
	e.usage(m.item.Service).requestsByCustomer[m.item.Customer]++
	e.queue(row.Pool).Push(m.item)
}

// refuseIfQueueFull refuses the request with the given ID if it still waits after dispatch and its service
// has more waiting requests than this entry's share of the limit. If the request is urgent, it refuses
// instead the request of the service that would be served last.
func (e *Entry) refuseIfQueueFull(id string, row settings.Row) {
	waiting := e.requests[id]
	if waiting == nil || waiting.box != "" {
		return
	}
	maxWaiting := e.limitShare(row.Queue, row.Pool)
	if row.Queue > 0 {
		maxWaiting = max(1, maxWaiting)
	}
	if e.queue(row.Pool).Len(waiting.item.Service) <= maxWaiting {
		return
	}
	if last, found := e.queue(row.Pool).Last(waiting.item.Service); found && last.ID != id && waiting.item.Class == wire.ClassUrgent {
		e.deps.Metrics.Add("displaced", 1)
		waiting = e.requests[last.ID]
	}
	e.queue(row.Pool).Remove(waiting.item.ID)
	e.refuseWaiting(waiting, newRefusal(http.StatusTooManyRequests, e.estimateRetryAfter(waiting.item.Service, row.Pool),
		"%d requests of service %s wait at this entry, its share of the limit of %d", maxWaiting, waiting.item.Service, row.Queue))
}

// refuseWaiting refuses a waiting request, which the caller has removed from its queue.
func (e *Entry) refuseWaiting(waiting *requestState, refused *refusal) {
	e.forget(waiting)
	waiting.reply <- grant{refusal: refused}
}

// forget removes a request from the requests that the loop keeps, and from its customer's count.
func (e *Entry) forget(request *requestState) {
	delete(e.requests, request.item.ID)
	counts := e.usage(request.item.Service).requestsByCustomer
	counts[request.item.Customer]--
	if counts[request.item.Customer] <= 0 {
		delete(counts, request.item.Customer)
	}
}

// estimateRetryAfter estimates the time until the requests that wait for the pool, and one more, have run.
// The result is between minRetryAfter and maxRetryAfter.
func (e *Entry) estimateRetryAfter(service, pool string) time.Duration {
	average := e.learner.AverageLatency(service)
	slots := max(1, e.ownSlots(pool))
	waiting := e.queue(pool).Total()
	estimate := average * time.Duration(waiting+1) / time.Duration(slots)
	return min(maxRetryAfter, max(minRetryAfter, estimate))
}

// refuseAllWaiting refuses every waiting request when the entry stops. The requests stay in their
// queues, which are not used any more.
func (e *Entry) refuseAllWaiting() {
	for _, waiting := range e.requests {
		if waiting.box == "" {
			e.refuseWaiting(waiting, newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "this entry has stopped"))
		}
	}
}
