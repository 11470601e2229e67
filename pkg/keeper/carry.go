package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// maintainTimeout bounds one attempt at a reboot.
const maintainTimeout = 10 * time.Minute

// planHall gives boxes senders and carries out the hall's maintenance.
func (k *Keeper) planHall(ctx context.Context) {
	for _, hall := range k.deps.Settings.Halls {
		if !k.leadsHall(hall) {
			continue
		}
		k.propose(plan.Senders(k.state, hall, k.liveSenders())...)
		k.maintain(ctx, hall)
	}
}

func (k *Keeper) liveSenders() []fold.Sender {
	var live []fold.Sender
	for _, sender := range k.state.Senders() {
		if sender.RenewedAt >= k.state.At()-k.liveFor() && !sender.Leaving {
			live = append(live, sender)
		}
	}
	return live
}

// maintain starts the maintenance of boxes that have become empty for it.
func (k *Keeper) maintain(ctx context.Context, hall string) {
	for _, box := range k.state.Boxes() {
		name := box.Info.Name
		if box.Phase != fold.Maintenance || box.Info.Hall != hall || k.carrying[name] {
			continue
		}
		k.carrying[name] = true
		k.deps.Metrics.Add("maintenance_started", 1)
		k.group.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, maintainTimeout)
			defer cancel()
			err := k.deps.Boxes.Maintain(limited, name)
			k.send(ctx, maintainedMessage{box: name, err: err})
			return nil
		})
	}
}

// takeMaintained puts a box back to work. One that failed stays in maintenance
// and is tried again; its wave halts meanwhile.
func (k *Keeper) takeMaintained(message maintainedMessage) {
	delete(k.carrying, message.box)
	if message.err != nil {
		k.deps.Metrics.Add("maintenance_failures", 1)
		k.deps.Logger.WithError(message.err).WithField("box", message.box).Warn("maintenance failed; it is tried again")
		return
	}
	box, known := k.state.Box(message.box)
	if !known || box.Phase != fold.Maintenance {
		return
	}
	k.propose(wire.Proposal{
		Kind:   wire.KindBack,
		Cause:  "maintenance has ended",
		Change: &wire.BoxChange{Box: message.box, Epoch: box.Epoch},
	})
}

// planFleet decides moves and waves, when this keeper leads the fleet.
func (k *Keeper) planFleet() {
	if !k.leadsFleet() || k.state.Table().Version() == 0 {
		return
	}
	now := k.now()
	if k.plannedAt.offset == k.state.Offset() && now.Sub(k.plannedAt.time) < planEvery {
		return
	}
	made := plan.New(k.state, k.deps.Plan)
	k.plannedAt = plannedAt{offset: k.state.Offset(), time: now, waits: made.Waits}
	k.deps.Metrics.Add("plans", 1)
	k.propose(made.Proposals...)
}

// writeSnapshot keeps the state in the log before its records expire.
func (k *Keeper) writeSnapshot(ctx context.Context) {
	if !k.leadsFleet() || k.relay.snapshotAt+k.deps.Settings.SnapshotEvery > k.state.Offset() {
		return
	}
	k.relay.snapshotAt = k.state.Offset()
	snapshot, err := k.state.Snapshot()
	if err != nil {
		k.deps.Logger.WithError(err).Error("snapshot can't be written")
		return
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		k.deps.Logger.WithError(err).Error("snapshot can't be written")
		return
	}
	k.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := k.deps.Log.Append(limited, damsonwinch.StreamSnapshots, string(text)); err != nil {
			k.deps.Metrics.Add("snapshot_failures", 1)
			return nil
		}
		k.deps.Metrics.Add("snapshots", 1)
		return nil
	})
}

// status returns what the keeper has in force.
func (k *Keeper) status(args wire.StatusArgs) wire.StatusReply {
	reply := wire.StatusReply{
		Node:         k.node(),
		Hall:         k.deps.Settings.Hall,
		Incarnation:  k.incarnation,
		Offset:       k.state.Offset(),
		TableVersion: k.state.Table().Version(),
		LogFresh:     k.logFresh(),
	}
	if args.AuditFrom >= 0 {
		reply.Audit = k.trail.From(args.AuditFrom)
	}
	if args.WithPlan {
		made := plan.New(k.state, k.deps.Plan)
		reply.Planned, reply.Waits = made.Proposals, made.Waits
	}
	if !args.WithState {
		return reply
	}
	snapshot, err := k.state.Snapshot()
	if err != nil {
		k.deps.Logger.WithError(err).Error("state can't be written")
		return reply
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		k.deps.Logger.WithError(fmt.Errorf("write state: %w", err)).Error("state can't be written")
		return reply
	}
	reply.State = string(text)
	return reply
}
