package entry

import (
	"net/http"
	"slices"
	"time"

	"damsonwinch/pkg/balance"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/send"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// attemptReport is the result of an attempt with a granted box, for the loop.
type attemptReport struct {
	kind send.Kind
	// failed says that the attempt counts as a failure of the box.
	failed bool
	// busy says that the endpoint answered that it has no free capacity.
	busy bool
	// took is the time from sending the request to the result.
	took time.Duration
	// unused says that no attempt was made.
	unused bool
	// last says that the request is not tried again.
	last bool
}

// tableWeights implements queue.Weights with the weights in the entry's current table.
type tableWeights struct {
	entry *Entry
}

// Service returns the weight of a service among those of its pool.
func (w tableWeights) Service(service string) int {
	row, _ := w.entry.state.Table().Row(service)
	return row.Weight
}

// Customer returns the weight of a customer among those of a service, 1 if the customer has no quota.
func (w tableWeights) Customer(service, customer string) int {
	row, _ := w.entry.state.Table().Row(service)
	for _, quota := range row.Quotas {
		if quota.Team == customer {
			return quota.Weight
		}
	}
	return 1
}

// queue returns the queue of a pool. It adds an empty one if there is none.
func (e *Entry) queue(pool string) *queue.Queue {
	if e.queues[pool] == nil {
		e.queues[pool] = queue.New(tableWeights{entry: e})
	}
	return e.queues[pool]
}

// dispatchAll starts waiting requests of all pools.
func (e *Entry) dispatchAll() {
	for pool, q := range e.queues {
		if q.Total() > 0 {
			e.dispatch(pool)
		}
	}
}

// dispatch starts waiting requests of a pool while its boxes have free slots.
func (e *Entry) dispatch(pool string) {
	now := e.now()
	if !e.lease.holder.MaySend(now) {
		return
	}
	q := e.queue(pool)
	for q.Total() > 0 {
		candidates := e.candidates(pool)
		free := totalFreeSlots(candidates)
		if free == 0 && !e.mayProbeAny(pool, now) {
			return
		}
		choices := map[string]string{}
		item, found := q.Pop(func(item queue.Item) bool {
			choices[item.ID] = e.chooseBox(item, pool, candidates, free)
			return choices[item.ID] != ""
		})
		if !found {
			return
		}
		e.grantBox(item, choices[item.ID])
	}
}

// candidate returns a box as package balance sees it.
func (e *Entry) candidate(box *ownBox) balance.Box {
	name := box.Info.Name
	return balance.Box{
		Name: name, Slots: box.Info.Slots, InUse: box.inUse,
		Limit: e.learner.Limit(name, box.Info.Slots), RelativeLatency: e.learner.RelativeLatency(name),
	}
}

// candidates returns this entry's boxes of a pool that take new work, without those that may only be
// probed.
func (e *Entry) candidates(pool string) []balance.Box {
	boxes := e.ownBoxes(pool)
	candidates := make([]balance.Box, 0, len(boxes))
	for _, box := range boxes {
		if e.mayStartOn(box, false) {
			candidates = append(candidates, e.candidate(box))
		}
	}
	return candidates
}

// totalFreeSlots returns the number of free slots on all candidates.
func totalFreeSlots(candidates []balance.Box) int {
	free := 0
	for _, candidate := range candidates {
		free += candidate.Free()
	}
	return free
}

const (
	// urgentReservePeriod is how long slots stay reserved after the last urgent request.
	urgentReservePeriod = time.Minute
	// slotsPerReservedSlot determines how many slots are reserved: one, and one more for every
	// slotsPerReservedSlot slots.
	slotsPerReservedSlot = 16
	// minSlotsToReserve is the number of slots in a pool below which none is reserved.
	minSlotsToReserve = 4
)

// reservedSlots returns how many of this entry's slots in a pool are kept free for urgent requests. It
// returns 0 if there was no urgent request within urgentReservePeriod.
func (e *Entry) reservedSlots(pool string) int {
	last, known := e.lastUrgent[pool]
	slots := e.ownSlots(pool)
	if !known || e.now().Sub(last) > urgentReservePeriod || slots < minSlotsToReserve {
		return 0
	}
	return 1 + slots/slotsPerReservedSlot
}

// chooseBox returns the name of the box on which a request may start now, or "" if there is none. free
// is the number of free slots on all candidates.
func (e *Entry) chooseBox(item queue.Item, pool string, candidates []balance.Box, free int) string {
	row, known := e.state.Table().Row(item.Service)
	if !known || e.usage(item.Service).slots+item.Size > max(1, e.limitShare(row.Most, pool)) {
		return ""
	}
	if probed := e.boxToProbe(item, pool, row); probed != "" {
		return probed
	}
	if item.Class == wire.ClassUrgent {
		e.lastUrgent[pool] = e.now()
	} else if free-item.Size < e.reservedSlots(pool) {
		return ""
	}
	tried := e.requests[item.ID].tried
	if len(tried) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate balance.Box) bool { return tried[candidate.Name] })
	}
	i := balance.Choose(candidates, item.Size, e.random)
	if i < 0 {
		return ""
	}
	return candidates[i].Name
}

// boxToProbe returns the name of an ejected box that the request may probe, or "". A request probes a
// box only in its first attempt, if it may be repeated and is not urgent.
func (e *Entry) boxToProbe(item queue.Item, pool string, row settings.Row) string {
	if !row.Repeatable || item.Class == wire.ClassUrgent || len(e.requests[item.ID].tried) > 0 {
		return ""
	}
	for _, box := range e.ownBoxes(pool) {
		name := box.Info.Name
		if e.ejections.IsEjected(name) && e.mayStartOn(box, true) && item.Size <= box.Info.Slots {
			return name
		}
	}
	return ""
}

// mayProbeAny reports whether any box of the pool has been ejected for long enough to be probed.
func (e *Entry) mayProbeAny(pool string, now time.Time) bool {
	for _, box := range e.ownBoxes(pool) {
		if box.inUse == 0 && e.ejections.MayProbe(box.Info.Name, now) {
			return true
		}
	}
	return false
}

// grantBox reserves a request's slots on a box and sends the grant to the request's goroutine.
func (e *Entry) grantBox(item queue.Item, name string) {
	row, _ := e.state.Table().Row(item.Service)
	box := e.boxes[name]
	e.checkNotLeaving(box)
	e.deps.Invariants.Check(invariant.SentWithoutLease, e.lease.holder.MaySend(e.now()), "request %s got box %s without a valid lease", item.ID, name)
	box.inUse += item.Size
	e.usage(item.Service).slots += item.Size
	request := e.requests[item.ID]
	request.box, request.startedAt = name, e.now()
	request.reply <- grant{box: name, address: box.Info.Address, row: row}
}

// handleFinish frees the slots of a grant and records the attempt that was made with it.
func (e *Entry) handleFinish(m finishMessage) {
	request := e.requests[m.id]
	if request == nil {
		return
	}
	e.forget(request)
	e.usage(request.item.Service).slots -= request.item.Size
	box := e.boxes[request.box]
	if box != nil {
		box.inUse -= request.item.Size
		e.recordAttempt(request, box, m.report)
	}
	if m.report.last {
		e.ejections.ForgetRequest(m.id)
	}
	if box != nil && box.Phase == fleetstate.Draining && box.inUse == 0 {
		e.proposeDrainedAndHandovers(e.ctx)
	}
	e.dispatch(request.pool)
}

// recordAttempt updates the learned speed and limit of a box, its failures and its ejection after an
// attempt on it.
func (e *Entry) recordAttempt(request *requestState, box *ownBox, report attemptReport) {
	name := box.Info.Name
	if report.kind == send.Unanswered {
		row, _ := e.state.Table().Row(request.item.Service)
		box.mayStillRunUntil = e.now().Add(milliseconds(row.RunMs) - report.took)
	}
	switch {
	case report.unused:
	case report.busy:
		e.learner.RecordBusy(name, box.inUse+request.item.Size)
	case report.kind == send.Unanswered && !report.failed:
		// The client disconnected, or the deadline left little time: that says nothing about the box.
	case report.failed:
		if e.ejections.IsEjected(name) {
			e.ejections.Eject(name, e.now())
			return
		}
		e.ejections.AddFailure(request.item.ID, name, e.now())
	default:
		e.learner.RecordAnswer(request.item.Service, name, report.took, box.Info.Slots)
		e.ejections.AddSuccess(request.item.ID, name)
		if e.ejections.IsEjected(name) {
			e.ejections.Reinstate(name)
			e.learner.SlowStart(name)
		}
	}
}

// cancelWaiting removes a request from its queue. If the request has been granted a box meanwhile, its
// own goroutine returns the grant.
func (e *Entry) cancelWaiting(id string) {
	waiting := e.requests[id]
	if waiting == nil || waiting.box != "" {
		return
	}
	e.queue(waiting.pool).Remove(id)
	e.deps.Metrics.Add("cancelled_waiting", 1)
	e.refuseWaiting(waiting, newRefusal(statusClientClosedRequest, noRetryAfter, "the client disconnected or the deadline passed while the request waited"))
}

// refuseExpired refuses waiting requests whose deadline has passed.
func (e *Entry) refuseExpired() {
	now := e.now()
	for pool, q := range e.queues {
		for _, item := range q.PopExpired(now) {
			e.refuseWaiting(e.requests[item.ID], newRefusal(http.StatusServiceUnavailable, e.estimateRetryAfter(item.Service, pool),
				"the deadline passed while the request waited in the queue of pool %s", pool))
		}
	}
}

// agingLeadRuns is how long before its deadline a waiting request gets the rank of an urgent one, as a
// multiple of the average run time of its service.
const agingLeadRuns = 2

// ageQueues raises the rank of requests that have waited long.
func (e *Entry) ageQueues() {
	now := e.now()
	for _, q := range e.queues {
		aged := q.Age(now, func(service string) time.Duration { return agingLeadRuns * e.learner.AverageLatency(service) })
		e.deps.Metrics.Add("aged", aged)
	}
}

// requeueMoved moves each waiting request whose service has moved to another pool into that pool's queue,
// and refuses those whose service is no longer in the table.
func (e *Entry) requeueMoved() {
	for id, waiting := range e.requests {
		pool := poolOf(e.state, waiting.item.Service)
		if waiting.box != "" || pool == waiting.pool {
			continue
		}
		e.queue(waiting.pool).Remove(id)
		if pool == "" {
			e.refuseWaiting(waiting, newRefusal(http.StatusNotFound, noRetryAfter, "service %q is no longer in the table", waiting.item.Service))
			continue
		}
		waiting.pool = pool
		e.queue(pool).Push(waiting.item)
	}
}
