package fleetstate

import (
	"fmt"

	"damsonwinch/pkg/wire"
)

// applyAssign gives a box that has no sender to a sender that isn't leaving.
func (s State) applyAssign(box Box, change wire.BoxChange, from origin) (State, string, error) {
	key := SenderKey{Node: change.Node, Incarnation: change.Entry}
	if !box.Sender.IsNone() {
		return s, "", refuse("box %s already has the sender %s", box.Info.Name, box.Sender)
	}
	sender, known := s.senders.Get(key.String())
	if !known || sender.Leaving {
		return s, "", refuse("%s is not a sender or is leaving", key)
	}
	box = box.withNextEpoch(from.offset, from.logTimeMs)
	box.Sender = key
	return s.withBox(box), fmt.Sprintf("%s sends to %s", key, box.Info.Name), nil
}

// applyHandover passes a box from its sender to another one, or to none. The
// sender proposes this only when it has no request in flight on the box.
func (s State) applyHandover(box Box, change wire.BoxChange, from origin) (State, string, error) {
	if err := checkSender(box, change); err != nil {
		return s, "", err
	}
	to := SenderKey{Node: change.ToNode, Incarnation: change.ToEntry}
	if sender, known := s.senders.Get(to.String()); !to.IsNone() && (!known || sender.Leaving) {
		return s, "", refuse("%s is not a sender or is leaving", to)
	}
	box = box.withNextEpoch(from.offset, from.logTimeMs)
	box.Sender = to
	return s.withBox(box), fmt.Sprintf("%s goes from %s#%d to %s", box.Info.Name, change.Node, change.Entry, to), nil
}

// checkSender refuses a change that doesn't come from the box's present sender.
func checkSender(box Box, change wire.BoxChange) error {
	if box.Sender != (SenderKey{Node: change.Node, Incarnation: change.Entry}) || box.Sender.IsNone() {
		return refuse("box %s is sent to by %q, not by %s#%d", box.Info.Name, box.Sender, change.Node, change.Entry)
	}
	return nil
}

// applyDrain starts to drain a box that is to move to another pool, to be
// maintained, or both. A box in the free pool has no requests to wait for, so its
// drain ends at once.
func (s State) applyDrain(box Box, change wire.BoxChange, from origin) (State, string, error) {
	target := change.Pool
	if target == "" {
		target = box.Pool
	}
	if err := s.checkDrain(box, target, change.Maintain, from.logTimeMs); err != nil {
		return s, "", err
	}
	box = box.withNextEpoch(from.offset, from.logTimeMs)
	box.Phase, box.Target, box.Maintain = Draining, target, change.Maintain
	if box.Pool == FreePool {
		box = box.drained(from.offset, from.logTimeMs)
		return s.withBox(box), fmt.Sprintf("free box %s is in pool %s, %s", box.Info.Name, box.Pool, box.Phase), nil
	}
	return s.withBox(box), fmt.Sprintf("%s drains from %s for %s", box.Info.Name, box.Pool, drainPurpose(box)), nil
}

// drainPurpose describes what a draining box drains for.
func drainPurpose(box Box) string {
	switch {
	case box.Target == box.Pool:
		return "maintenance"
	case box.Maintain:
		return "pool " + box.Target + " after maintenance"
	}
	return "pool " + box.Target
}

// applyWithdraw cancels a drain.
func (s State) applyWithdraw(box Box, from origin) (State, string, error) {
	if box.Phase != Draining {
		return s, "", refuse("box %s is %s, not draining", box.Info.Name, box.Phase)
	}
	return s.withBox(box.drainCancelled(from.offset, from.logTimeMs)), "drain withdrawn", nil
}

// applyEmpty ends a drain: the sender reports that its last request on the box
// has ended. It is refused before the box's HeldUntil.
func (s State) applyEmpty(box Box, change wire.BoxChange, from origin) (State, string, error) {
	if box.Phase != Draining {
		return s, "", refuse("box %s is %s, not draining", box.Info.Name, box.Phase)
	}
	if err := checkSender(box, change); err != nil {
		return s, "", err
	}
	if from.logTimeMs < box.HeldUntil {
		return s, "", refuse("requests of a lost sender may run on %s until %d", box.Info.Name, box.HeldUntil)
	}
	box = box.drained(from.offset, from.logTimeMs)
	return s.withBox(box), fmt.Sprintf("%s is empty and now in pool %s, %s", box.Info.Name, box.Pool, box.Phase), nil
}

// applyCarry makes the keeper that wrote the batch the box's maintainer. A box
// has only one maintainer: if two keepers rebooted it, the second reboot would
// still be going on when the box serves again. A maintainer that is no longer a
// member is replaced.
func (s State) applyCarry(box Box, from origin) (State, string, error) {
	if box.Phase != Maintenance {
		return s, "", refuse("box %s is %s, not in maintenance", box.Info.Name, box.Phase)
	}
	if member, known := s.members.Get(box.Maintainer.Node); known && member.KeeperIncarnation == box.Maintainer.Incarnation {
		return s, "", refuse("%s carries out the maintenance of %s", box.Maintainer.Node, box.Info.Name)
	}
	box = box.withNextEpoch(from.offset, from.logTimeMs)
	box.Maintainer = KeeperKey{Node: from.batch.Node, Incarnation: from.batch.Incarnation}
	return s.withBox(box), fmt.Sprintf("%s carries out the maintenance of %s", from.batch.Node, box.Info.Name), nil
}

// applyBack ends a maintenance, which only the box's maintainer may do.
func (s State) applyBack(box Box, from origin) (State, string, error) {
	if box.Phase != Maintenance {
		return s, "", refuse("box %s is %s, not in maintenance", box.Info.Name, box.Phase)
	}
	if box.Maintainer != (KeeperKey{Node: from.batch.Node, Incarnation: from.batch.Incarnation}) {
		return s, "", refuse("the maintenance of %s is carried out by %s", box.Info.Name, box.Maintainer.Node)
	}
	box = box.withNextEpoch(from.offset, from.logTimeMs)
	box.Maintainer = KeeperKey{}
	box.Phase, box.Health, box.MaintainedAt = Serving, wire.HealthUp, from.logTimeMs
	return s.withBox(box), fmt.Sprintf("%s serves pool %s again", box.Info.Name, box.Pool), nil
}

// applyHealth records a box's health. It doesn't change the epoch: otherwise all
// proposals about a box whose health flaps would be refused as outdated.
func (s State) applyHealth(box Box, change wire.BoxChange, from origin) (State, string, error) {
	if box.Health == change.Health {
		return s, "", refuse("box %s is known to be %s", box.Info.Name, box.Health)
	}
	switch change.Health {
	case wire.HealthUp, wire.HealthDown, wire.HealthLeaving, wire.HealthGone:
	default:
		return s, "", refuse("unknown health %q", change.Health)
	}
	before := box.Health
	box.Health, box.HealthChangedAt = change.Health, from.logTimeMs
	box.ChangedAtOffset = from.offset
	return s.withBox(box), fmt.Sprintf("%s was %s and is %s", box.Info.Name, before, box.Health), nil
}
