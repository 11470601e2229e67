package keeper

import (
	"context"

	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/wire"
)

// The goroutine of run handles these messages. The first five stand for calls of the keeper's RPC methods; their
// reply functions send the reply to the caller.
type (
	readMessage struct {
		args  wire.ReadArgs
		reply func(wire.ReadReply)
	}
	renewMessage struct {
		member wire.Member
		reply  func(bool) // Whether the renewal is accepted.
	}
	extendMessage struct {
		args  wire.ExtendArgs
		reply func(wire.ExtendReply)
	}
	proposeMessage struct {
		proposals []wire.Proposal
		reply     func(bool) // Whether the proposals are queued.
	}
	statusMessage struct {
		args  wire.StatusArgs
		reply func(wire.StatusReply)
	}
	// listMessage brings the platform's list of a zone's boxes.
	listMessage struct {
		zone  string
		boxes []wire.ListedBox
	}
	// appendedMessage reports that the append of the batch with a number has
	// succeeded, or failed with err.
	appendedMessage struct {
		number int
		err    error
	}
	// forwardedMessage reports whether the zone's leader has accepted this keeper's
	// renewal.
	forwardedMessage struct {
		member   wire.Member
		accepted bool
	}
	// maintainedMessage reports that the maintenance of a box has succeeded, or
	// failed with err.
	maintainedMessage struct {
		box string
		err error
	}
	// entryExitedMessage reports that an incarnation of the entry on this box has
	// exited.
	entryExitedMessage struct {
		incarnation int
	}
)

// run handles updates of the state, messages and ticks until ctx ends. It always
// returns nil.
func (k *Keeper) run(ctx context.Context) error {
	const ticksPerRenewal = 4
	ticker := k.deps.Clock.NewTicker(milliseconds(k.deps.Settings.RenewMs) / ticksPerRenewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case update := <-k.updates:
			k.applyUpdate(update)
			if update.Checkpoint != nil {
				k.writeSnapshot(ctx, *update.Checkpoint)
			}
			k.proposeChanges(ctx)
		case message := <-k.inbox:
			k.handle(ctx, message)
		case <-ticker.Chan():
			k.replyToExpired()
			k.proposeChanges(ctx)
		}
		k.flush(ctx)
	}
}

// handle handles one message to run. It makes no use of ctx.
func (k *Keeper) handle(ctx context.Context, message any) {
	switch m := message.(type) {
	case readMessage:
		k.handleRead(m)
	case renewMessage:
		k.handleRenewal(m)
	case extendMessage:
		m.reply(k.extend(m.args))
	case proposeMessage:
		k.propose(m.proposals...)
		m.reply(true)
	case statusMessage:
		m.reply(k.status(m.args))
	case listMessage:
		k.handleList(m)
	case appendedMessage:
		k.handleAppended(m)
	case forwardedMessage:
		k.handleForwarded(m)
	case maintainedMessage:
		k.handleMaintained(m)
		k.fleetChanged = true
	case entryExitedMessage:
		k.renewals.exitedEntries[m.incarnation] = true
	case probedMessage:
		k.renewals.probeInFlight = false
	}
}

// applyUpdate makes the state of an update the present one and handles the records
// that led to it. It ignores a state that is older than the present one.
func (k *Keeper) applyUpdate(update follow.Update) {
	if update.Source == follow.LogSourceName {
		k.logReadAt = update.ReadStartedAt
	}
	if update.State.Offset() < k.state.Offset() {
		return
	}
	k.state = update.State
	k.fleetChanged = k.fleetChanged || update.Restored
	for _, applied := range update.Records {
		k.fleetChanged = k.fleetChanged || applied.ChangesFleet()
		k.auditTrail.Add(applied.Record, applied.Results)
		k.countResults(applied)
	}
	k.relay.add(update)
	k.replyToWaiting()
	k.outbox.applyRecords(k.state, update.Records)
	k.noteRenewals()
	k.deps.Metrics.SetGauge("offset", k.state.Offset())
	k.deps.Metrics.SetGauge("table_version", k.state.Table().Version())
}

// countResults counts the results of a record's proposals by the kind of proposal.
func (k *Keeper) countResults(applied follow.AppliedRecord) {
	for _, result := range applied.Results {
		if result.Accepted {
			k.deps.Metrics.Add("accepted_"+string(result.Proposal.Kind), 1)
		} else {
			k.deps.Metrics.Add("refused_"+string(result.Proposal.Kind), 1)
		}
	}
}

// proposeChanges renews the keeper's membership when this is due, and proposes the
// releases, moves and maintenance that the present state requires.
func (k *Keeper) proposeChanges(ctx context.Context) {
	k.renew(ctx)
	if !k.isLogFresh() || k.outbox.awaitsLastBatch(k.state, k.now()) {
		// The state doesn't show the last batch yet. A decision on it would repeat
		// that batch's proposals.
		return
	}
	k.releaseLostSenders()
	if !k.beginPlanIfDue() {
		return
	}
	k.planZones()
	k.runMaintenances(ctx)
	k.planFleet()
}

// beginPlanIfDue reports whether a plan is due and, if so, sets plannedAt to now.
// Since each plan looks at every box, a plan is due only if the fleet has changed by
// more than renewals since the last plan, or idlePlanRenewals after it.
func (k *Keeper) beginPlanIfDue() bool {
	now := k.now()
	if !k.fleetChanged && now.Sub(k.plannedAt) < idlePlanRenewals*milliseconds(k.deps.Settings.RenewMs) {
		return false
	}
	k.fleetChanged, k.plannedAt = false, now
	return true
}

// renewalTimeoutMs returns for how long, by the log's time and in milliseconds, a
// member may go without a renewal and still become a leader, and a sender without
// one and still get boxes.
func (k *Keeper) renewalTimeoutMs() int {
	return k.deps.Settings.LeaseMs
}

// idlePlanRenewals is the time between two plans if the fleet has not changed, in
// renewal intervals.
const idlePlanRenewals = 2
