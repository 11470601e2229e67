package front

import (
	"net/http"
	"slices"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/pick"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/send"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// attemptReport is what a request tells of the box that it was granted.
type attemptReport struct {
	kind send.Kind
	// failed says that the answer, or its absence, speaks against the box.
	failed bool
	// busy says that the box had no room.
	busy bool
	took time.Duration
	// unused says that nothing was sent.
	unused bool
	// last says that the request is tried no more.
	last bool
}

// tableWeights gives the queue the table's shares.
type tableWeights struct {
	entry *Entry
}

// Service returns a service's share of its pool.
func (w tableWeights) Service(service string) int {
	row, _ := w.entry.state.Table().Row(service)
	return row.Weight
}

// Customer returns a team's share of a service.
func (w tableWeights) Customer(service, team string) int {
	row, _ := w.entry.state.Table().Row(service)
	for _, quota := range row.Quotas {
		if quota.Team == team {
			return quota.Weight
		}
	}
	return 1
}

func (e *Entry) queue(pool string) *queue.Queue {
	if e.queues[pool] == nil {
		e.queues[pool] = queue.New(tableWeights{entry: e})
	}
	return e.queues[pool]
}

func (e *Entry) dispatchAll() {
	for pool, waiting := range e.queues {
		if waiting.Total() > 0 {
			e.dispatch(pool)
		}
	}
}

// dispatch starts waiting requests of a pool while boxes have room for them.
func (e *Entry) dispatch(pool string) {
	now := e.now()
	if !e.lease.holder.MaySend(now) {
		return
	}
	waiting := e.queue(pool)
	for waiting.Total() > 0 {
		views := e.candidates(pool)
		free := totalFreeSlots(views)
		if free == 0 && !e.mayProbeAny(pool, now) {
			return
		}
		choices := map[string]string{}
		item, found := waiting.Pop(func(item queue.Item) bool {
			choices[item.ID] = e.chooseBox(item, pool, views, free)
			return choices[item.ID] != ""
		})
		if !found {
			return
		}
		e.grantBox(item, choices[item.ID])
	}
}

// candidate returns what the picker sees of a box.
func (e *Entry) candidate(box *ownBox) pick.Box {
	name := box.Info.Name
	return pick.Box{
		Name: name, Slots: box.Info.Slots, InUse: box.inUse,
		Limit: e.learner.Limit(name, box.Info.Slots), RelativeLatency: e.learner.RelativeLatency(name),
	}
}

// candidates returns the boxes of a pool that take new work from anybody.
func (e *Entry) candidates(pool string) []pick.Box {
	boxes := e.ownBoxes(pool)
	views := make([]pick.Box, 0, len(boxes))
	for _, box := range boxes {
		if e.mayStartOn(box, false) {
			views = append(views, e.candidate(box))
		}
	}
	return views
}

func totalFreeSlots(views []pick.Box) int {
	free := 0
	for _, view := range views {
		free += view.Free()
	}
	return free
}

const (
	urgentReservePeriod  = time.Minute
	slotsPerReservedSlot = 16
	minSlotsToReserve    = 4
)

// reservedSlots returns the slots kept free for urgent work of a pool that has seen
// some lately.
func (e *Entry) reservedSlots(pool string) int {
	seen, known := e.lastUrgent[pool]
	slots := e.ownSlots(pool)
	if !known || e.now().Sub(seen) > urgentReservePeriod || slots < minSlotsToReserve {
		return 0
	}
	return 1 + slots/slotsPerReservedSlot
}

// chooseBox returns the box on which an item may start now, or "".
func (e *Entry) chooseBox(item queue.Item, pool string, views []pick.Box, free int) string {
	row, known := e.state.Table().Row(item.Service)
	if !known || e.usage(item.Service).slots+item.Size > max(1, e.limitShare(row.Most, pool)) {
		return ""
	}
	if onTrial := e.boxToProbe(item, pool, row); onTrial != "" {
		return onTrial
	}
	if item.Class == wire.ClassUrgent {
		e.lastUrgent[pool] = e.now()
	} else if free-item.Size < e.reservedSlots(pool) {
		return ""
	}
	tried := e.requests[item.ID].tried
	if len(tried) > 0 {
		views = slices.DeleteFunc(slices.Clone(views), func(view pick.Box) bool { return tried[view.Name] })
	}
	at := pick.Choose(views, item.Size, e.random)
	if at < 0 {
		return ""
	}
	return views[at].Name
}

// boxToProbe returns an ejected box that this repeatable request may try.
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

func (e *Entry) mayProbeAny(pool string, now time.Time) bool {
	for _, box := range e.ownBoxes(pool) {
		if box.inUse == 0 && e.ejections.MayProbe(box.Info.Name, now) {
			return true
		}
	}
	return false
}

// grantBox grants an item its box.
func (e *Entry) grantBox(item queue.Item, name string) {
	row, _ := e.state.Table().Row(item.Service)
	box := e.boxes[name]
	e.checkNotLeaving(box)
	e.deps.Invariants.Check(invariant.SentWithoutLease, e.lease.holder.MaySend(e.now()), "request %s got box %s outside the lease", item.ID, name)
	box.inUse += item.Size
	e.usage(item.Service).slots += item.Size
	granted := e.requests[item.ID]
	granted.box, granted.startedAt = name, e.now()
	granted.reply <- grant{box: name, address: box.Info.Address, row: row}
}

// handleFinish takes back a grant and learns from what became of it.
func (e *Entry) handleFinish(m finishMessage) {
	done := e.requests[m.id]
	if done == nil {
		return
	}
	e.forget(done)
	e.usage(done.item.Service).slots -= done.item.Size
	box := e.boxes[done.box]
	if box != nil {
		box.inUse -= done.item.Size
		e.recordAttempt(done, box, m.report)
	}
	if m.report.last {
		e.ejections.ForgetRequest(m.id)
	}
	if box != nil && box.Phase == fold.Draining && box.inUse == 0 {
		e.proposeDrainedAndHandovers(e.ctx)
	}
	e.dispatch(done.pool)
}

func (e *Entry) recordAttempt(done *requestState, box *ownBox, report attemptReport) {
	name := box.Info.Name
	if report.kind == send.Unanswered {
		row, _ := e.state.Table().Row(done.item.Service)
		box.mayStillRunUntil = e.now().Add(milliseconds(row.RunMs) - report.took)
	}
	switch {
	case report.unused:
	case report.busy:
		e.learner.RecordBusy(name, box.inUse+done.item.Size)
	case report.kind == send.Unanswered && !report.failed:
		// Its caller left or its time was short: that says nothing of the box.
	case report.failed:
		if e.ejections.IsEjected(name) {
			e.ejections.Eject(name, e.now())
			return
		}
		e.ejections.AddFailure(done.item.ID, name, e.now())
	default:
		e.learner.RecordAnswer(done.item.Service, name, report.took, box.Info.Slots)
		e.ejections.AddSuccess(done.item.ID, name)
		if e.ejections.IsEjected(name) {
			e.ejections.Reinstate(name)
			e.learner.SlowStart(name)
		}
	}
}

// cancelWaiting takes a request out of its queue; one that has been granted a
// box is given back by its own goroutine.
func (e *Entry) cancelWaiting(id string) {
	waiting := e.requests[id]
	if waiting == nil || waiting.box != "" {
		return
	}
	e.queue(waiting.pool).Remove(id)
	e.deps.Metrics.Add("cancelled_waiting", 1)
	e.refuseWaiting(waiting, newRefusal(statusClientClosedRequest, noRetryAfter, "the caller has gone"))
}

// refuseExpired refuses waiting requests whose deadline has come.
func (e *Entry) refuseExpired() {
	now := e.now()
	for pool, waiting := range e.queues {
		for _, item := range waiting.PopExpired(now) {
			e.refuseWaiting(e.requests[item.ID], newRefusal(http.StatusServiceUnavailable, e.estimateRetryAfter(item.Service, pool),
				"its deadline came while it waited in the queue of pool %s", pool))
		}
	}
}

const agingLeadRuns = 2

// ageQueues lifts work that has waited long.
func (e *Entry) ageQueues() {
	now := e.now()
	for _, waiting := range e.queues {
		aged := waiting.Age(now, func(service string) time.Duration { return agingLeadRuns * e.learner.AverageLatency(service) })
		e.deps.Metrics.Add("aged", aged)
	}
}

// requeueMoved moves waiting requests whose service has changed its pool.
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
