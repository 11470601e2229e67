package front

import (
	"context"
	"slices"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/pace"
	"damsonwinch/pkg/queue"
)

// Messages to the task.
type (
	// acquireMessage asks for a grant; the reply gets exactly one.
	acquireMessage struct {
		item  queue.Item
		hop   bool
		tried map[string]bool
		reply chan<- grant
	}
	// cancelMessage takes back a wish that may still wait.
	cancelMessage struct {
		id string
	}
	// finishMessage gives back what a grant gave.
	finishMessage struct {
		id     string
		report report
	}
	// forwardedMessage tells how busy a peer said it was, or that it gave no
	// answer.
	forwardedMessage struct {
		peer fold.SenderKey
		pool string
		busy bool
		lost bool
	}
	// retryMessage asks whether the service's budget bears a retry.
	retryMessage struct {
		service string
		reply   chan<- bool
	}
	// renewedMessage ends an attempt to renew.
	renewedMessage struct {
		accepted bool
	}
	// extendedMessage is a hall peer's answer, or that it has ended.
	extendedMessage struct {
		key     fold.SenderKey
		peer    lease.Peer
		asked   time.Time
		granted bool
		ended   bool
	}
	// peerMessage asks for the client of an address.
	peerMessage struct {
		address string
		reply   chan<- *call.Client
	}
	// freeMessage asks for the free slots in a service's pool.
	freeMessage struct {
		service string
		reply   chan<- int
	}
	// leaveMessage begins a planned stop.
	leaveMessage struct{}
	// standingMessage asks for a summary.
	standingMessage struct {
		reply chan<- standing
	}
)

// standing sums up an entry, for its planned stop and for tests.
type standing struct {
	boxes   int
	inUse   int
	waiting int
	maySend bool
	// heirs counts the senders that could take its boxes.
	heirs int
}

const (
	busyTick          = 20 * time.Millisecond
	idleTicksARenewal = 8
	ageEvery          = 5  // Ticks.
	tidyEvery         = 50 // Ticks.
)

// busy says whether something waits for time to pass.
func (f *Entry) busy() bool {
	if len(f.jobs) > 0 || f.leaving {
		return true
	}
	for _, box := range f.boxes {
		if box.Phase == fold.Draining || box.givenUp || f.book.IsEjected(box.Info.Name) {
			return true
		}
	}
	return false
}

// run is the task that owns the entry's state.
func (f *Entry) run(ctx context.Context) error {
	ticker := pace.New(f.deps.Clock, busyTick, milliseconds(f.deps.Settings.RenewMs)/idleTicksARenewal)
	defer ticker.Stop()
	for ticks := 0; ; {
		ticker.SetBusy(f.busy())
		select {
		case <-ctx.Done():
			f.refuseAll()
			return nil
		case update := <-f.updates:
			f.takeUpdate(update)
		case message := <-f.inbox:
			f.take(message)
		case <-ticker.Chan():
			ticks++
			f.takeTick(ctx, ticks)
		}
	}
}

func (f *Entry) take(message any) {
	switch m := message.(type) {
	case acquireMessage:
		f.acquire(m)
	case cancelMessage:
		f.cancelWaiting(m.id)
	case finishMessage:
		f.finish(m)
	case forwardedMessage:
		f.takeForwarded(m)
	case retryMessage:
		m.reply <- f.spendRetry(m.service)
	case renewedMessage:
		f.leasing.renewing = false
	case extendedMessage:
		f.takeExtended(m)
	case peerMessage:
		m.reply <- f.peer(m.address)
	case freeMessage:
		m.reply <- totalFree(f.views(poolOf(f.state, m.service)))
	case leaveMessage:
		f.leaving = true
		f.leasing.next = time.Time{}
	case standingMessage:
		m.reply <- f.standing()
	}
}

// takeUpdate moves the entry to a newer state.
func (f *Entry) takeUpdate(update follow.Update) {
	if update.LeavingBoxesKnown {
		f.takeAvoid(update.LeavingBoxes)
	}
	if update.State.Offset() < f.state.Offset() {
		return
	}
	old := f.state
	f.state = update.State
	f.inForce.Store(&update.State)
	f.readBack()
	if update.Restored || slices.ContainsFunc(update.Records, follow.AppliedRecord.ChangesFleet) {
		f.takeFleet(old)
		f.endDrains(f.ctx)
	}
	f.deps.Metrics.SetGauge("offset", f.state.Offset())
	f.deps.Metrics.SetGauge("table_version", f.state.Table().Version())
	f.dispatchAll()
}

func (f *Entry) takeTick(ctx context.Context, ticks int) {
	f.renew(ctx)
	f.expire()
	f.reroute()
	if ticks%ageEvery == 0 || !f.busy() {
		f.age()
		f.endDrains(ctx)
		f.judgeBoxes(ctx)
	}
	if ticks%tidyEvery == 0 {
		f.book.ForgetOldFailures(f.now())
		f.gauges()
	}
	f.dispatchAll()
}

func (f *Entry) gauges() {
	standing := f.standing()
	f.deps.Metrics.SetGauge("boxes", standing.boxes)
	f.deps.Metrics.SetGauge("slots_in_use", standing.inUse)
	f.deps.Metrics.SetGauge("waiting", standing.waiting)
	f.deps.Metrics.SetGauge("held_bytes", int(f.held.Load()))
}

func (f *Entry) standing() standing {
	summary := standing{boxes: len(f.boxes), maySend: f.leasing.holder.MaySend(f.now()), heirs: len(f.heirs())}
	for _, box := range f.boxes {
		summary.inUse += box.inUse
	}
	for _, waiting := range f.queues {
		summary.waiting += waiting.Total()
	}
	return summary
}
