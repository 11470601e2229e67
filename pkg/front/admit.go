package front

import (
	"fmt"
	"net/http"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/limit"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// refusal is why a request is not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func newRefusal(status int, retryAfter time.Duration, reason string, values ...any) *refusal {
	return &refusal{status: status, retryAfter: retryAfter, reason: fmt.Sprintf(reason, values...)}
}

// grant is the right to send one request: to a box, or to another sender.
type grant struct {
	refusal *refusal
	box     string
	address string
	row     settings.Row
	// forwardTo names the other sender; its address is then a call's.
	forwardTo fold.SenderKey
}

// requestState is a waiting or running request as the task sees it.
type requestState struct {
	item      queue.Item
	tried     map[string]bool
	forwarded bool
	reply     chan<- grant
	box       string // Empty while it waits.
	pool      string
	startedAt time.Time
}

// usage counts what a service and its teams hold at this entry.
type usage struct {
	slots              int
	requestsByCustomer map[string]int
}

const (
	minRetryAfter         = 100 * time.Millisecond
	maxRetryAfter         = 30 * time.Second
	unavailableRetryAfter = time.Second
	noRetryAfter          = 0
)

// admit admits a request: refuses it, sends it on, queues it or grants it a
// box at once.
func (e *Entry) admit(m acquireMessage) {
	row, known := e.state.Table().Row(m.item.Service)
	if !known {
		m.reply <- grant{refusal: newRefusal(http.StatusNotFound, noRetryAfter, "service %q is not in the table", m.item.Service)}
		return
	}
	if largest := e.maxBoxSlots(row.Pool); largest > 0 && m.item.Size > largest {
		m.reply <- grant{refusal: newRefusal(http.StatusUnprocessableEntity, noRetryAfter,
			"it needs %d slots at once, the largest box of pool %s has %d", m.item.Size, row.Pool, largest)}
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

// checkLimits checks the limits that hold before a request may wait.
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
				"team %s has %d requests here, its share of the quota of %d is %d", item.Customer, share, quota.Most, share)
		}
	}
	return nil
}

func (e *Entry) noBoxRefusal(pool string) *refusal {
	return newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "no box of pool %s can be sent to from here now", pool)
}

// canSendTo says whether this entry sends to a box of the pool and may.
func (e *Entry) canSendTo(pool string) bool {
	if !e.lease.holder.MaySend(e.now()) {
		return false
	}
	for _, box := range e.ownBoxes(pool) {
		if box.Phase == fold.Serving {
			return true
		}
	}
	return false
}

// maxBoxSlots returns the slots of the pool's maxBoxSlots box, at any sender.
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
	return limit.Share(total, weights, index)
}

func (e *Entry) usage(service string) *usage {
	if e.usages[service] == nil {
		e.usages[service] = &usage{requestsByCustomer: map[string]int{}}
	}
	return e.usages[service]
}

func (e *Entry) enqueue(m acquireMessage, row settings.Row) {
	e.requests[m.item.ID] = &requestState{item: m.item, tried: m.tried, forwarded: m.forwarded, reply: m.reply, pool: row.Pool}
	e.usage(m.item.Service).requestsByCustomer[m.item.Customer]++
	e.queue(row.Pool).Push(m.item)
}

// refuseIfQueueFull refuses a request that couldn't start at once and finds the
// queue full.
func (e *Entry) refuseIfQueueFull(id string, row settings.Row) {
	waiting := e.requests[id]
	if waiting == nil || waiting.box != "" {
		return
	}
	room := e.limitShare(row.Queue, row.Pool)
	if row.Queue > 0 {
		room = max(1, room)
	}
	if e.queue(row.Pool).Len(waiting.item.Service) <= room {
		return
	}
	if last, found := e.queue(row.Pool).Last(waiting.item.Service); found && last.ID != id && waiting.item.Class == wire.ClassUrgent {
		// Urgent work takes the place of the work that would be served last.
		e.deps.Metrics.Add("displaced", 1)
		waiting = e.requests[last.ID]
	}
	e.queue(row.Pool).Remove(waiting.item.ID)
	e.refuseWaiting(waiting, newRefusal(http.StatusTooManyRequests, e.estimateRetryAfter(waiting.item.Service, row.Pool),
		"%d requests of service %s wait here already, its share of the limit of %d", room, waiting.item.Service, row.Queue))
}

// refuseWaiting answers a waiting job that will not run.
func (e *Entry) refuseWaiting(waiting *requestState, why *refusal) {
	e.forget(waiting)
	waiting.reply <- grant{refusal: why}
}

func (e *Entry) forget(known *requestState) {
	delete(e.requests, known.item.ID)
	teams := e.usage(known.item.Service).requestsByCustomer
	teams[known.item.Customer]--
	if teams[known.item.Customer] <= 0 {
		delete(teams, known.item.Customer)
	}
}

// estimateRetryAfter estimates when the present queue will have gone by.
func (e *Entry) estimateRetryAfter(service, pool string) time.Duration {
	average := e.learner.AverageLatency(service)
	slots := max(1, e.ownSlots(pool))
	waiting := e.queue(pool).Total()
	estimate := average * time.Duration(waiting+1) / time.Duration(slots)
	return min(maxRetryAfter, max(minRetryAfter, estimate))
}

// refuseAllWaiting answers every waiting request when the entry ends.
func (e *Entry) refuseAllWaiting() {
	for _, waiting := range e.requests {
		if waiting.box == "" {
			e.refuseWaiting(waiting, newRefusal(http.StatusServiceUnavailable, unavailableRetryAfter, "this entry has stopped"))
		}
	}
}
