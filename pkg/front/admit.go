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

func refuse(status int, retryAfter time.Duration, reason string, values ...any) *refusal {
	return &refusal{status: status, retryAfter: retryAfter, reason: fmt.Sprintf(reason, values...)}
}

// grant is the right to send one request: to a box, or to another sender.
type grant struct {
	refusal *refusal
	box     string
	address string
	row     settings.Row
	// forward names the other sender; its address is then a call's.
	forward fold.SenderKey
}

// job is a waiting or running request as the task sees it.
type job struct {
	item  queue.Item
	tried map[string]bool
	hop   bool
	reply chan<- grant
	box   string // Empty while it waits.
	pool  string
	begun time.Time
}

// usage counts what a service and its teams hold at this entry.
type usage struct {
	slots int
	teams map[string]int
}

const (
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	noSenderRetry   = time.Second
	neverRetry      = 0
)

// acquire admits a request: refuses it, sends it on, queues it or grants it a
// box at once.
func (f *Entry) acquire(m acquireMessage) {
	row, known := f.state.Table().Row(m.item.Service)
	if !known {
		m.reply <- grant{refusal: refuse(http.StatusNotFound, neverRetry, "service %q is not in the table", m.item.Service)}
		return
	}
	if largest := f.largest(row.Pool); largest > 0 && m.item.Size > largest {
		m.reply <- grant{refusal: refuse(http.StatusUnprocessableEntity, neverRetry,
			"it needs %d slots at once, the largest box of pool %s has %d", m.item.Size, row.Pool, largest)}
		return
	}
	if len(m.tried) == 0 {
		f.earnRetry(m.item.Service)
	}
	if f.goesElsewhere(m, row) {
		return
	}
	if refused := f.refuse(m.item, row); refused != nil {
		m.reply <- grant{refusal: refused}
		return
	}
	f.enqueue(m, row)
	f.dispatch(row.Pool)
	f.refuseUnqueued(m.item.ID, row)
}

// refuse checks the limits that hold before a request may wait.
func (f *Entry) refuse(item queue.Item, row settings.Row) *refusal {
	if !f.mayWait(row.Pool) {
		return f.noSender(row.Pool)
	}
	for _, quota := range row.Quotas {
		if quota.Team != item.Customer {
			continue
		}
		share := max(1, f.shareOf(quota.Most, row.Pool))
		if f.usage(item.Service).teams[item.Customer] >= share {
			return refuse(http.StatusTooManyRequests, f.retryAfter(item.Service, row.Pool),
				"team %s has %d requests here, its share of the quota of %d is %d", item.Customer, share, quota.Most, share)
		}
	}
	return nil
}

func (f *Entry) noSender(pool string) *refusal {
	return refuse(http.StatusServiceUnavailable, noSenderRetry, "no box of pool %s can be sent to from here now", pool)
}

// mayWait says whether this entry sends to a box of the pool and may.
func (f *Entry) mayWait(pool string) bool {
	if !f.leasing.holder.MaySend(f.now()) {
		return false
	}
	for _, box := range f.inPool(pool) {
		if box.Phase == fold.Serving {
			return true
		}
	}
	return false
}

// largest returns the slots of the pool's largest box, at any sender.
func (f *Entry) largest(pool string) int {
	largest := 0
	for _, box := range f.inPool(pool) {
		largest = max(largest, box.Info.Slots)
	}
	if largest > 0 {
		return largest
	}
	for _, box := range f.state.Boxes() {
		if box.Pool == pool {
			largest = max(largest, box.Info.Slots)
		}
	}
	return largest
}

func (f *Entry) computeShare(total int, pool string) int {
	weights := []int{f.ownSlots(pool)}
	index := 0
	for _, other := range f.routes[pool] {
		if other.key.String() < f.key.String() {
			index++
		}
	}
	weights = weights[:0]
	for _, other := range f.routes[pool] {
		if len(weights) == index {
			weights = append(weights, f.ownSlots(pool))
		}
		weights = append(weights, other.slots)
	}
	if len(weights) == index {
		weights = append(weights, f.ownSlots(pool))
	}
	return limit.Share(total, weights, index)
}

func (f *Entry) usage(service string) *usage {
	if f.running[service] == nil {
		f.running[service] = &usage{teams: map[string]int{}}
	}
	return f.running[service]
}

func (f *Entry) enqueue(m acquireMessage, row settings.Row) {
	f.jobs[m.item.ID] = &job{item: m.item, tried: m.tried, hop: m.hop, reply: m.reply, pool: row.Pool}
	f.usage(m.item.Service).teams[m.item.Customer]++
	f.queue(row.Pool).Push(m.item)
}

// refuseUnqueued refuses a request that couldn't start at once and finds the
// queue full.
func (f *Entry) refuseUnqueued(id string, row settings.Row) {
	waiting := f.jobs[id]
	if waiting == nil || waiting.box != "" {
		return
	}
	room := f.shareOf(row.Queue, row.Pool)
	if row.Queue > 0 {
		room = max(1, room)
	}
	if f.queue(row.Pool).Len(waiting.item.Service) <= room {
		return
	}
	if last, found := f.queue(row.Pool).Last(waiting.item.Service); found && last.ID != id && waiting.item.Class == wire.ClassUrgent {
		// Urgent work takes the place of the work that would be served last.
		f.deps.Metrics.Add("displaced", 1)
		waiting = f.jobs[last.ID]
	}
	f.queue(row.Pool).Remove(waiting.item.ID)
	f.refuseJob(waiting, refuse(http.StatusTooManyRequests, f.retryAfter(waiting.item.Service, row.Pool),
		"%d requests of service %s wait here already, its share of the limit of %d", room, waiting.item.Service, row.Queue))
}

// refuseJob answers a waiting job that will not run.
func (f *Entry) refuseJob(waiting *job, why *refusal) {
	f.forget(waiting)
	waiting.reply <- grant{refusal: why}
}

func (f *Entry) forget(known *job) {
	delete(f.jobs, known.item.ID)
	teams := f.usage(known.item.Service).teams
	teams[known.item.Customer]--
	if teams[known.item.Customer] <= 0 {
		delete(teams, known.item.Customer)
	}
}

// retryAfter estimates when the present queue will have gone by.
func (f *Entry) retryAfter(service, pool string) time.Duration {
	average := f.learner.AverageLatency(service)
	slots := max(1, f.ownSlots(pool))
	waiting := f.queue(pool).Total()
	estimate := average * time.Duration(waiting+1) / time.Duration(slots)
	return min(mostRetryAfter, max(leastRetryAfter, estimate))
}

// refuseAll answers every waiting request when the entry ends.
func (f *Entry) refuseAll() {
	for _, waiting := range f.jobs {
		if waiting.box == "" {
			f.refuseJob(waiting, refuse(http.StatusServiceUnavailable, noSenderRetry, "this entry has stopped"))
		}
	}
}
