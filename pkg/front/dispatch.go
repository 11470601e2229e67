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

// report is what a request tells of the box that it was granted.
type report struct {
	kind send.Kind
	// failed says that the answer, or its absence, speaks against the box.
	failed bool
	// refused says that the box had no room.
	refused bool
	took    time.Duration
	// unused says that nothing was sent.
	unused bool
	// last says that the request is tried no more.
	last bool
}

// weights gives the queue the table's shares.
type weights struct {
	front *Entry
}

// Service returns a service's share of its pool.
func (w weights) Service(service string) int {
	row, _ := w.front.state.Table().Row(service)
	return row.Weight
}

// Customer returns a team's share of a service.
func (w weights) Customer(service, team string) int {
	row, _ := w.front.state.Table().Row(service)
	for _, quota := range row.Quotas {
		if quota.Team == team {
			return quota.Weight
		}
	}
	return 1
}

func (f *Entry) queue(pool string) *queue.Queue {
	if f.queues[pool] == nil {
		f.queues[pool] = queue.New(weights{front: f})
	}
	return f.queues[pool]
}

func (f *Entry) dispatchAll() {
	for pool, waiting := range f.queues {
		if waiting.Total() > 0 {
			f.dispatch(pool)
		}
	}
}

// dispatch starts waiting requests of a pool while boxes have room for them.
func (f *Entry) dispatch(pool string) {
	now := f.now()
	if !f.leasing.holder.MaySend(now) {
		return
	}
	waiting := f.queue(pool)
	for waiting.Total() > 0 {
		views := f.views(pool)
		free := totalFree(views)
		if free == 0 && !f.anyOnTrial(pool, now) {
			return
		}
		choices := map[string]string{}
		item, found := waiting.Pop(func(item queue.Item) bool {
			choices[item.ID] = f.choose(item, pool, views, free)
			return choices[item.ID] != ""
		})
		if !found {
			return
		}
		f.startItem(item, choices[item.ID])
	}
}

// view returns what the picker sees of a box.
func (f *Entry) view(box *ownBox) pick.Box {
	name := box.Info.Name
	return pick.Box{
		Name: name, Slots: box.Info.Slots, InUse: box.inUse,
		Limit: f.learner.Limit(name, box.Info.Slots), RelativeLatency: f.learner.RelativeLatency(name),
	}
}

// views returns the boxes of a pool that take new work from anybody.
func (f *Entry) views(pool string) []pick.Box {
	boxes := f.inPool(pool)
	views := make([]pick.Box, 0, len(boxes))
	for _, box := range boxes {
		if f.open(box, false) {
			views = append(views, f.view(box))
		}
	}
	return views
}

func totalFree(views []pick.Box) int {
	free := 0
	for _, view := range views {
		free += view.Free()
	}
	return free
}

const (
	urgentMemory      = time.Minute
	slotsAReserved    = 16
	leastReservedFrom = 4
)

// reserve returns the slots kept free for urgent work of a pool that has seen
// some lately.
func (f *Entry) reserve(pool string) int {
	seen, known := f.urgent[pool]
	slots := f.ownSlots(pool)
	if !known || f.now().Sub(seen) > urgentMemory || slots < leastReservedFrom {
		return 0
	}
	return 1 + slots/slotsAReserved
}

// choose returns the box on which an item may start now, or "".
func (f *Entry) choose(item queue.Item, pool string, views []pick.Box, free int) string {
	row, known := f.state.Table().Row(item.Service)
	if !known || f.usage(item.Service).slots+item.Size > max(1, f.shareOf(row.Most, pool)) {
		return ""
	}
	if onTrial := f.trialFor(item, pool, row); onTrial != "" {
		return onTrial
	}
	if item.Class == wire.ClassUrgent {
		f.urgent[pool] = f.now()
	} else if free-item.Size < f.reserve(pool) {
		return ""
	}
	tried := f.jobs[item.ID].tried
	if len(tried) > 0 {
		views = slices.DeleteFunc(slices.Clone(views), func(view pick.Box) bool { return tried[view.Name] })
	}
	at := pick.Choose(views, item.Size, f.random)
	if at < 0 {
		return ""
	}
	return views[at].Name
}

// trialFor returns an ejected box that this repeatable request may try.
func (f *Entry) trialFor(item queue.Item, pool string, row settings.Row) string {
	if !row.Repeatable || item.Class == wire.ClassUrgent || len(f.jobs[item.ID].tried) > 0 {
		return ""
	}
	for _, box := range f.inPool(pool) {
		name := box.Info.Name
		if f.book.IsEjected(name) && f.open(box, true) && item.Size <= box.Info.Slots {
			return name
		}
	}
	return ""
}

func (f *Entry) anyOnTrial(pool string, now time.Time) bool {
	for _, box := range f.inPool(pool) {
		if box.inUse == 0 && f.book.MayProbe(box.Info.Name, now) {
			return true
		}
	}
	return false
}

// startItem grants an item its box.
func (f *Entry) startItem(item queue.Item, name string) {
	row, _ := f.state.Table().Row(item.Service)
	box := f.boxes[name]
	f.checkLeaving(box)
	f.deps.Invariants.Check(invariant.SentWithoutLease, f.leasing.holder.MaySend(f.now()), "request %s got box %s outside the lease", item.ID, name)
	box.inUse += item.Size
	f.usage(item.Service).slots += item.Size
	granted := f.jobs[item.ID]
	granted.box, granted.begun = name, f.now()
	granted.reply <- grant{box: name, address: box.Info.Address, row: row}
}

// finish takes back a grant and learns from what became of it.
func (f *Entry) finish(m finishMessage) {
	done := f.jobs[m.id]
	if done == nil {
		return
	}
	f.forget(done)
	f.usage(done.item.Service).slots -= done.item.Size
	box := f.boxes[done.box]
	if box != nil {
		box.inUse -= done.item.Size
		f.learn(done, box, m.report)
	}
	if m.report.last {
		f.book.ForgetRequest(m.id)
	}
	if box != nil && box.Phase == fold.Draining && box.inUse == 0 {
		f.endDrains(f.ctx)
	}
	f.dispatch(done.pool)
}

func (f *Entry) learn(done *job, box *ownBox, report report) {
	name := box.Info.Name
	if report.kind == send.Broken {
		row, _ := f.state.Table().Row(done.item.Service)
		box.mayRunUntil = f.now().Add(milliseconds(row.RunMs) - report.took)
	}
	switch {
	case report.unused:
	case report.refused:
		f.learner.RecordBusy(name, box.inUse+done.item.Size)
	case report.kind == send.Broken && !report.failed:
		// Its caller left or its time was short: that says nothing of the box.
	case report.failed:
		if f.book.IsEjected(name) {
			f.book.Eject(name, f.now())
			return
		}
		f.book.AddFailure(done.item.ID, name, f.now())
	default:
		f.learner.RecordAnswer(done.item.Service, name, report.took, box.Info.Slots)
		f.book.AddSuccess(done.item.ID, name)
		if f.book.IsEjected(name) {
			f.book.Reinstate(name)
			f.learner.SlowStart(name)
		}
	}
}

// cancelWaiting takes a request out of its queue; one that has been granted a
// box is given back by its own goroutine.
func (f *Entry) cancelWaiting(id string) {
	waiting := f.jobs[id]
	if waiting == nil || waiting.box != "" {
		return
	}
	f.queue(waiting.pool).Remove(id)
	f.deps.Metrics.Add("cancelled_waiting", 1)
	f.refuseJob(waiting, refuse(statusCallerGone, neverRetry, "the caller has gone"))
}

// expire refuses waiting requests whose deadline has come.
func (f *Entry) expire() {
	now := f.now()
	for pool, waiting := range f.queues {
		for _, item := range waiting.PopExpired(now) {
			f.refuseJob(f.jobs[item.ID], refuse(http.StatusServiceUnavailable, f.retryAfter(item.Service, pool),
				"its deadline came while it waited in the queue of pool %s", pool))
		}
	}
}

const leadRuns = 2

// age lifts work that has waited long.
func (f *Entry) age() {
	now := f.now()
	for _, waiting := range f.queues {
		aged := waiting.Age(now, func(service string) time.Duration { return leadRuns * f.learner.AverageLatency(service) })
		f.deps.Metrics.Add("aged", aged)
	}
}

// requeue moves waiting requests whose service has changed its pool.
func (f *Entry) requeue() {
	for id, waiting := range f.jobs {
		pool := poolOf(f.state, waiting.item.Service)
		if waiting.box != "" || pool == waiting.pool {
			continue
		}
		f.queue(waiting.pool).Remove(id)
		if pool == "" {
			f.refuseJob(waiting, refuse(http.StatusNotFound, neverRetry, "service %q is no longer in the table", waiting.item.Service))
			continue
		}
		waiting.pool = pool
		f.queue(pool).Push(waiting.item)
	}
}
