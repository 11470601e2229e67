package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// maintenanceTimeout bounds one attempt at the maintenance of a box.
const maintenanceTimeout = 10 * time.Minute

// planZones makes the proposals for each zone that this keeper leads: senders for
// boxes that have none, and itself as the maintainer of boxes in maintenance.
func (k *Keeper) planZones() {
	for _, zone := range k.deps.Settings.Halls {
		if !k.leadsZone(zone) {
			continue
		}
		k.propose(plan.AssignSenders(k.state, zone, k.assignableSenders(), k.state.LogTimeMs()-k.renewalTimeoutMs())...)
		k.proposeMaintainer(zone)
	}
}

// assignableSenders returns the senders that may get boxes: those that have renewed
// their lease recently, aren't leaving, and could be released if they were lost.
func (k *Keeper) assignableSenders() []fleetstate.Sender {
	var found []fleetstate.Sender
	for _, sender := range k.state.Senders() {
		if sender.RenewedAt >= k.state.LogTimeMs()-k.renewalTimeoutMs() && !sender.Leaving && k.state.Releasable(sender) {
			found = append(found, sender)
		}
	}
	return found
}

// maintenanceState is the state of a maintenance that this keeper carries out.
type maintenanceState int

const (
	maintenanceRunning maintenanceState = iota + 1
	maintenanceDone
)

// proposeMaintainer proposes this keeper as the maintainer of the zone's boxes in
// maintenance that have no maintainer, or one that is no longer a member. Once the
// log has accepted this, runMaintenances carries out the maintenance.
func (k *Keeper) proposeMaintainer(zone string) {
	for _, box := range k.state.Boxes() {
		if box.Info.Hall != zone || box.Phase != fleetstate.Maintenance {
			continue
		}
		if member, known := k.state.Member(box.Maintainer.Node); !known || member.KeeperIncarnation != box.Maintainer.Incarnation {
			k.proposeBoxChange(wire.KindCarry, box, "it is empty for maintenance")
		}
	}
}

// runMaintenances starts the maintenance of each box of which this keeper is the
// maintainer, once for each box. For boxes whose maintenance is done it proposes that
// they serve again.
func (k *Keeper) runMaintenances(ctx context.Context) {
	ours := map[string]bool{}
	for _, box := range k.state.Boxes() {
		if box.Phase != fleetstate.Maintenance || box.Maintainer != k.key() {
			continue
		}
		name := box.Info.Name
		ours[name] = true
		switch k.maintenances[name] {
		case maintenanceRunning:
		case maintenanceDone:
			k.proposeBoxChange(wire.KindBack, box, "maintenance has ended")
		default:
			k.maintenances[name] = maintenanceRunning
			k.reboot(ctx, name)
		}
	}
	for name, state := range k.maintenances {
		if state == maintenanceDone && !ours[name] {
			delete(k.maintenances, name)
		}
	}
}

// key returns the key by which the state names this run of the keeper.
func (k *Keeper) key() fleetstate.KeeperKey {
	return fleetstate.KeeperKey{Node: k.node(), Incarnation: k.incarnation}
}

// proposeBoxChange proposes a change of a kind that needs no data but the box's name
// and epoch. The cause is for the audit trail.
func (k *Keeper) proposeBoxChange(kind wire.Kind, box fleetstate.Box, cause string) {
	k.propose(wire.Proposal{Kind: kind, Cause: cause, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch}})
}

// reboot starts the platform's maintenance of a box. Its result reaches run as a
// message.
func (k *Keeper) reboot(ctx context.Context, name string) {
	k.deps.Metrics.Add("maintenance_started", 1)
	k.group.Go(func() error {
		maintainCtx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
		defer cancel()
		err := k.deps.Boxes.Maintain(maintainCtx, name)
		k.send(ctx, maintainedMessage{box: name, err: err})
		return nil
	})
}

// handleMaintained records that a maintenance has ended. One that has failed is
// retried; the maintenance wave that it belongs to halts meanwhile.
func (k *Keeper) handleMaintained(message maintainedMessage) {
	if message.err != nil {
		delete(k.maintenances, message.box)
		k.deps.Metrics.Add("maintenance_failures", 1)
		k.deps.Logger.WithError(message.err).WithField("box", message.box).Warn("maintenance failed; it will be retried")
		return
	}
	k.maintenances[message.box] = maintenanceDone
}

// planFleet proposes moves and maintenance of boxes if this keeper leads the fleet
// and the log has a table.
func (k *Keeper) planFleet() {
	if !k.leadsFleet() || k.state.Table().Version() == 0 {
		return
	}
	fleetPlan := plan.New(k.state, k.deps.PlanOptions)
	k.deps.Metrics.Add("plans", 1)
	k.propose(fleetPlan.Proposals...)
}

// status returns the keeper's status with the parts that args asks for.
func (k *Keeper) status(args wire.StatusArgs) wire.StatusReply {
	reply := wire.StatusReply{
		Node:         k.node(),
		Hall:         k.deps.Settings.Hall,
		Incarnation:  k.incarnation,
		Offset:       k.state.Offset(),
		TableVersion: k.state.Table().Version(),
		LogFresh:     k.isLogFresh(),
	}
	if args.AuditFrom >= 0 {
		reply.Audit = k.auditTrail.From(args.AuditFrom)
	}
	if args.WithPlan {
		fleetPlan := plan.New(k.state, k.deps.PlanOptions)
		reply.Planned, reply.Waits = fleetPlan.Proposals, fleetPlan.Deferred
	}
	if !args.WithState {
		return reply
	}
	snapshot, err := k.state.Snapshot()
	if err != nil {
		k.deps.Logger.WithError(err).Error("cannot encode state")
		return reply
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		k.deps.Logger.WithError(fmt.Errorf("write state: %w", err)).Error("cannot encode state")
		return reply
	}
	reply.State = string(text)
	return reply
}
