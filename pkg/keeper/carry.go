package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// maintainTimeout bounds one attempt at a reboot.
const maintainTimeout = 10 * time.Minute

// planHall gives boxes senders and takes on the hall's maintenance.
func (k *Keeper) planHall() {
	for _, hall := range k.deps.Settings.Halls {
		if !k.leadsHall(hall) {
			continue
		}
		k.propose(plan.AssignSenders(k.state, hall, k.liveSenders(), k.state.LogTimeMs()-k.liveFor())...)
		k.maintain(hall)
	}
}

func (k *Keeper) liveSenders() []fold.Sender {
	var live []fold.Sender
	for _, sender := range k.state.Senders() {
		if sender.RenewedAt >= k.state.LogTimeMs()-k.liveFor() && !sender.Leaving && k.state.Releasable(sender) {
			live = append(live, sender)
		}
	}
	return live
}

// carried is how far this keeper is with a box's maintenance.
type carried int

const (
	carriedRunning carried = iota + 1
	carriedDone
)

// maintain takes on the maintenance of a hall's empty boxes and carries it out
// once the log has given it to this keeper.
func (k *Keeper) maintain(hall string) {
	for _, box := range k.state.Boxes() {
		if box.Info.Hall != hall || box.Phase != fold.Maintenance {
			continue
		}
		if member, known := k.state.Member(box.Maintainer.Node); !known || member.KeeperIncarnation != box.Maintainer.Incarnation {
			k.proposeStep(wire.KindCarry, box, "it is empty for maintenance")
		}
	}
}

// carryOut reboots the boxes whose maintenance is this keeper's, each once, and
// puts them back to work.
func (k *Keeper) carryOut(ctx context.Context) {
	mine := map[string]bool{}
	for _, box := range k.state.Boxes() {
		if box.Phase != fold.Maintenance || box.Maintainer != k.carrier() {
			continue
		}
		name := box.Info.Name
		mine[name] = true
		switch k.carrying[name] {
		case carriedRunning:
		case carriedDone:
			k.proposeStep(wire.KindBack, box, "maintenance has ended")
		default:
			k.carrying[name] = carriedRunning
			k.reboot(ctx, name)
		}
	}
	for name, how := range k.carrying {
		if how == carriedDone && !mine[name] {
			delete(k.carrying, name)
		}
	}
}

func (k *Keeper) carrier() fold.KeeperKey {
	return fold.KeeperKey{Node: k.node(), Incarnation: k.incarnation}
}

func (k *Keeper) proposeStep(kind wire.Kind, box fold.Box, cause string) {
	k.propose(wire.Proposal{Kind: kind, Cause: cause, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch}})
}

func (k *Keeper) reboot(ctx context.Context, name string) {
	k.deps.Metrics.Add("maintenance_started", 1)
	k.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, maintainTimeout)
		defer cancel()
		err := k.deps.Boxes.Maintain(limited, name)
		k.send(ctx, maintainedMessage{box: name, err: err})
		return nil
	})
}

// takeMaintained notes the end of a reboot. One that failed is tried again; its
// wave halts meanwhile.
func (k *Keeper) takeMaintained(message maintainedMessage) {
	if message.err != nil {
		delete(k.carrying, message.box)
		k.deps.Metrics.Add("maintenance_failures", 1)
		k.deps.Logger.WithError(message.err).WithField("box", message.box).Warn("maintenance failed; it is tried again")
		return
	}
	k.carrying[message.box] = carriedDone
}

// planFleet decides moves and waves, when this keeper leads the fleet.
func (k *Keeper) planFleet() {
	if !k.leadsFleet() || k.state.Table().Version() == 0 {
		return
	}
	made := plan.New(k.state, k.deps.PlanOptions)
	k.deps.Metrics.Add("plans", 1)
	k.propose(made.Proposals...)
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
		made := plan.New(k.state, k.deps.PlanOptions)
		reply.Planned, reply.Waits = made.Proposals, made.Deferred
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
