package keeper

import (
	"context"

	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/wire"
)

// Messages to the loop. Each carries what takes its answer.
type (
	readMessage struct {
		args  wire.ReadArgs
		reply func(wire.ReadReply)
	}
	renewMessage struct {
		member wire.Member
		reply  func(bool)
	}
	extendMessage struct {
		args  wire.ExtendArgs
		reply func(wire.ExtendReply)
	}
	proposeMessage struct {
		proposals []wire.Proposal
		reply     func(bool)
	}
	statusMessage struct {
		args  wire.StatusArgs
		reply func(wire.StatusReply)
	}
	listMessage struct {
		hall  string
		boxes []wire.ListedBox
	}
	appendedMessage struct {
		number int
		err    error
	}
	forwardedMessage struct {
		member wire.Member
		taken  bool
	}
	maintainedMessage struct {
		box string
		err error
	}
	entryEndedMessage struct {
		entry int
	}
)

// run is the task that owns the keeper's state.
func (k *Keeper) run(ctx context.Context) error {
	const ticksARenewal = 4
	ticker := k.deps.Clock.NewTicker(milliseconds(k.deps.Settings.RenewMs) / ticksARenewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case update := <-k.updates:
			k.takeUpdate(update)
			if update.Checkpoint != nil {
				k.writeSnapshot(ctx, *update.Checkpoint)
			}
			k.decide(ctx)
		case message := <-k.inbox:
			k.take(ctx, message)
		case <-ticker.Chan():
			k.answerExpired()
			k.decide(ctx)
		}
		k.flush(ctx)
	}
}

func (k *Keeper) take(ctx context.Context, message any) {
	switch m := message.(type) {
	case readMessage:
		k.answerRead(m)
	case renewMessage:
		k.takeRenewal(m)
	case extendMessage:
		m.reply(k.extend(m.args))
	case proposeMessage:
		k.propose(m.proposals...)
		m.reply(true)
	case statusMessage:
		m.reply(k.status(m.args))
	case listMessage:
		k.takeList(m)
	case appendedMessage:
		k.takeAppended(m)
	case forwardedMessage:
		k.takeForwarded(m)
	case maintainedMessage:
		k.takeMaintained(m)
		k.changed = true
	case entryEndedMessage:
		k.roster.ended[m.entry] = true
	case probedMessage:
		k.roster.probing = false
	}
}

// takeUpdate moves the keeper to a newer state.
func (k *Keeper) takeUpdate(update follow.Update) {
	if update.Source == follow.LogSourceName {
		k.logRead = update.ReadStartedAt
	}
	if update.State.Offset() < k.state.Offset() {
		return
	}
	k.state = update.State
	k.changed = k.changed || update.Restored
	for _, folded := range update.Records {
		k.changed = k.changed || folded.ChangesFleet()
		k.trail.Add(folded.Record, folded.Results)
		k.countVerdicts(folded)
	}
	k.relay.take(update)
	k.answerWaiting()
	k.outbox.settle(k.state, update.Records)
	k.witnessSenders()
	k.deps.Metrics.SetGauge("offset", k.state.Offset())
	k.deps.Metrics.SetGauge("table_version", k.state.Table().Version())
}

func (k *Keeper) countVerdicts(folded follow.AppliedRecord) {
	for _, verdict := range folded.Results {
		if verdict.Accepted {
			k.deps.Metrics.Add("accepted_"+string(verdict.Proposal.Kind), 1)
		} else {
			k.deps.Metrics.Add("refused_"+string(verdict.Proposal.Kind), 1)
		}
	}
}

// decide puts everything that the keeper wants to say into the outbox.
func (k *Keeper) decide(ctx context.Context) {
	k.renewMembers(ctx)
	if !k.logFresh() || k.outbox.unread(k.state, k.now()) {
		// What was said last isn't folded yet: deciding now would repeat it.
		return
	}
	k.releaseLost()
	if !k.somethingToPlan() {
		return
	}
	k.planHall()
	k.carryOut(ctx)
	k.planFleet()
}

// somethingToPlan says whether the fleet has changed since the last plan, beside
// renewals, or enough time has passed. Each plan looks at every box.
func (k *Keeper) somethingToPlan() bool {
	now := k.now()
	if !k.changed && now.Sub(k.planned) < planRenewals*milliseconds(k.deps.Settings.RenewMs) {
		return false
	}
	k.changed, k.planned = false, now
	return true
}

// liveFor is the silence, by the log's time, after which a member is passed
// over for the work that only one should do.
func (k *Keeper) liveFor() int {
	return k.deps.Settings.LeaseMs
}

// planRenewals is the time, in renewal intervals, between two plans on a fleet
// that has not changed.
const planRenewals = 2
