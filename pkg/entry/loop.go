package entry

import (
	"context"
	"slices"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/queue"
	"damsonwinch/pkg/ticker"
)

// The loop handles these messages, and alone holds the queues and leases.
type (
	// acquireMessage asks for a grant. The loop sends exactly one to reply.
	acquireMessage struct {
		item queue.Item
		// forwarded says that another entry has forwarded the request to this one.
		forwarded bool
		// tried holds the names of the boxes and the sender keys of the entries that were tried.
		tried map[string]bool
		reply chan<- grant
	}
	// cancelMessage withdraws a request that may still be waiting for its grant.
	cancelMessage struct {
		id string
	}
	// finishMessage returns the slots of a grant and reports the attempt that was made with it.
	finishMessage struct {
		id     string
		report attemptReport
	}
	// forwardedMessage reports that another entry, to which a request was forwarded, replied whether it
	// has free slots, or did not reply.
	forwardedMessage struct {
		peer       fleetstate.SenderKey
		pool       string
		busy       bool
		unanswered bool
	}
	// retryMessage asks for a retry from the service's retry budget.
	retryMessage struct {
		service string
		reply   chan<- bool
	}
	// renewedMessage reports that an attempt to renew the lease has ended.
	renewedMessage struct {
		accepted bool
	}
	// extendedMessage reports the outcome of a request for an extension of the lease to a keeper of the
	// zone: the keeper granted it, is found to have exited, or neither.
	extendedMessage struct {
		// key names the sender that the extension is for.
		key         fleetstate.SenderKey
		peer        lease.Peer
		requestedAt time.Time
		granted     bool
		exited      bool
	}
	// peerClientMessage asks for the RPC client for an address.
	peerClientMessage struct {
		address string
		reply   chan<- *call.Client
	}
	// freeSlotsMessage asks for the number of free slots on this entry's boxes of a service's pool.
	freeSlotsMessage struct {
		service string
		reply   chan<- int
	}
	// leaveMessage begins the handover of the entry's boxes in a planned stop.
	leaveMessage struct{}
	// summaryMessage asks for a summary of the entry.
	summaryMessage struct {
		reply chan<- summary
	}
)

// summary holds what a planned stop waits for and what the gauges show.
type summary struct {
	boxes int
	// inUse is the number of slots in use on the entry's boxes.
	inUse int
	// waiting is the number of requests in the queues.
	waiting int
	maySend bool
	// successors is the number of senders that could take over the entry's boxes.
	successors int
}

// While it has timed work, the loop ticks every busyTickInterval and ages the queues every ticksPerAging
// ticks. Otherwise it ticks idleTicksPerRenewal times per renewal interval and ages the queues at each
// tick. Every ticksPerCleanup ticks it forgets old failures of boxes and sets the gauges.
const (
	busyTickInterval    = 20 * time.Millisecond
	idleTicksPerRenewal = 8
	ticksPerAging       = 5
	ticksPerCleanup     = 50
)

// hasTimedWork reports whether the loop has work that depends on the time, so that it has to tick
// often.
func (e *Entry) hasTimedWork() bool {
	if len(e.requests) > 0 || e.leaving {
		return true
	}
	for _, box := range e.boxes {
		if box.Phase == fleetstate.Draining || box.handoverPending || e.ejections.IsEjected(box.Info.Name) {
			return true
		}
	}
	return false
}

// run is the loop: it handles messages, updates of the log's state and ticks one by one, until ctx ends.
func (e *Entry) run(ctx context.Context) error {
	loopTicker := ticker.New(e.deps.Clock, busyTickInterval, milliseconds(e.deps.Settings.RenewMs)/idleTicksPerRenewal)
	defer loopTicker.Stop()
	for ticks := 0; ; {
		loopTicker.SetBusy(e.hasTimedWork())
		select {
		case <-ctx.Done():
			e.refuseAllWaiting()
			return nil
		case update := <-e.updates:
			e.handleUpdate(update)
		case message := <-e.inbox:
			e.handleMessage(message)
		case <-loopTicker.Chan():
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
		e.handleFinish(m)
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

// handleUpdate makes a newer state of the log the current one, and updates which boxes are leaving. It
// ignores a state that is older than the current one.
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
		e.proposeDrainedAndHandovers(e.ctx)
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
		e.proposeDrainedAndHandovers(ctx)
		e.updateBoxHealth(ctx)
	}
	if ticks%ticksPerCleanup == 0 {
		e.ejections.ForgetOldFailures(e.now())
		e.setGauges()
	}
	e.dispatchAll()
}

func (e *Entry) setGauges() {
	current := e.summarize()
	e.deps.Metrics.SetGauge("boxes", current.boxes)
	e.deps.Metrics.SetGauge("slots_in_use", current.inUse)
	e.deps.Metrics.SetGauge("waiting", current.waiting)
	e.deps.Metrics.SetGauge("held_bytes", int(e.heldBytes.Load()))
}

func (e *Entry) summarize() summary {
	s := summary{boxes: len(e.boxes), maySend: e.lease.holder.MaySend(e.now()), successors: len(e.successors())}
	for _, box := range e.boxes {
		s.inUse += box.inUse
	}
	for _, q := range e.queues {
		s.waiting += q.Total()
	}
	return s
}
