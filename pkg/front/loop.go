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
		item      queue.Item
		forwarded bool
		tried     map[string]bool
		reply     chan<- grant
	}
	// cancelMessage takes back a wish that may still wait.
	cancelMessage struct {
		id string
	}
	// finishMessage gives back what a grant gave.
	finishMessage struct {
		id     string
		report attemptReport
	}
	// forwardedMessage tells how busy a peer said it was, or that it gave no
	// answer.
	forwardedMessage struct {
		peer       fold.SenderKey
		pool       string
		busy       bool
		unanswered bool
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
		key         fold.SenderKey
		peer        lease.Peer
		requestedAt time.Time
		granted     bool
		exited      bool
	}
	// peerClientMessage asks for the client of an address.
	peerClientMessage struct {
		address string
		reply   chan<- *call.Client
	}
	// freeSlotsMessage asks for the free slots in a service's pool.
	freeSlotsMessage struct {
		service string
		reply   chan<- int
	}
	// leaveMessage begins a planned stop.
	leaveMessage struct{}
	// summaryMessage asks for a summary.
	summaryMessage struct {
		reply chan<- summary
	}
)

// summary sums up an entry, for its planned stop and for tests.
type summary struct {
	boxes   int
	inUse   int
	waiting int
	maySend bool
	// successors counts the senders that could take its boxes.
	successors int
}

const (
	busyTickInterval    = 20 * time.Millisecond
	idleTicksPerRenewal = 8
	ticksPerAging       = 5  // Ticks.
	ticksPerCleanup     = 50 // Ticks.
)

// hasTimedWork says whether something waits for time to pass.
func (e *Entry) hasTimedWork() bool {
	if len(e.requests) > 0 || e.leaving {
		return true
	}
	for _, box := range e.boxes {
		if box.Phase == fold.Draining || box.handoverPending || e.ejections.IsEjected(box.Info.Name) {
			return true
		}
	}
	return false
}

// run is the task that owns the entry's state.
func (e *Entry) run(ctx context.Context) error {
	ticker := pace.New(e.deps.Clock, busyTickInterval, milliseconds(e.deps.Settings.RenewMs)/idleTicksPerRenewal)
	defer ticker.Stop()
	for ticks := 0; ; {
		ticker.SetBusy(e.hasTimedWork())
		select {
		case <-ctx.Done():
			e.refuseAllWaiting()
			return nil
		case update := <-e.updates:
			e.handleUpdate(update)
		case message := <-e.inbox:
			e.handleMessage(message)
		case <-ticker.Chan():
			ticks++
			e.handleTick(ctx, ticks)
		}
	}
}

func (e *Entry) handleMessage(message any) {
	switch m := message.(type) {
	case acquireMessage:
		e.admit(m)
	case cancelMessage:
		e.cancelWaiting(m.id)
	case finishMessage:
		e.finish(m)
	case forwardedMessage:
		e.handleForwarded(m)
	case retryMessage:
		m.reply <- e.spendRetry(m.service)
	case renewedMessage:
		e.lease.renewing = false
	case extendedMessage:
		e.handleExtended(m)
	case peerClientMessage:
		m.reply <- e.peerClient(m.address)
	case freeSlotsMessage:
		m.reply <- totalFreeSlots(e.candidates(poolOf(e.state, m.service)))
	case leaveMessage:
		e.leaving = true
		e.lease.nextRenewal = time.Time{}
	case summaryMessage:
		m.reply <- e.summarize()
	}
}

// handleUpdate moves the entry to a newer state.
func (e *Entry) handleUpdate(update follow.Update) {
	if update.LeavingBoxesKnown {
		e.updateLeaving(update.LeavingBoxes)
	}
	if update.State.Offset() < e.state.Offset() {
		return
	}
	old := e.state
	e.state = update.State
	e.currentState.Store(&update.State)
	e.updateLease()
	if update.Restored || slices.ContainsFunc(update.Records, follow.AppliedRecord.ChangesFleet) {
		e.updateFleet(old)
		e.proposeBoxChanges(e.ctx)
	}
	e.deps.Metrics.SetGauge("offset", e.state.Offset())
	e.deps.Metrics.SetGauge("table_version", e.state.Table().Version())
	e.dispatchAll()
}

func (e *Entry) handleTick(ctx context.Context, ticks int) {
	e.renew(ctx)
	e.refuseExpired()
	e.reroute()
	if ticks%ticksPerAging == 0 || !e.hasTimedWork() {
		e.ageQueues()
		e.proposeBoxChanges(ctx)
		e.updateBoxHealth(ctx)
	}
	if ticks%ticksPerCleanup == 0 {
		e.ejections.ForgetOldFailures(e.now())
		e.setGauges()
	}
	e.dispatchAll()
}

func (e *Entry) setGauges() {
	standing := e.summarize()
	e.deps.Metrics.SetGauge("boxes", standing.boxes)
	e.deps.Metrics.SetGauge("slots_in_use", standing.inUse)
	e.deps.Metrics.SetGauge("waiting", standing.waiting)
	e.deps.Metrics.SetGauge("held_bytes", int(e.heldBytes.Load()))
}

func (e *Entry) summarize() summary {
	summary := summary{boxes: len(e.boxes), maySend: e.lease.holder.MaySend(e.now()), successors: len(e.successors())}
	for _, box := range e.boxes {
		summary.inUse += box.inUse
	}
	for _, waiting := range e.queues {
		summary.waiting += waiting.Total()
	}
	return summary
}
