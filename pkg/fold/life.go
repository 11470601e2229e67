package fold

import (
	"fmt"

	"damsonwinch/pkg/wire"
)

// assign gives a box without a sender to one that renews.
func (s State) assign(box Box, change wire.BoxChange, where step) (State, string, error) {
	key := SenderKey{Node: change.Node, Incarnation: change.Entry}
	if !box.Sender.IsNone() {
		return s, "", refuse("box %s has the sender %s", box.Info.Name, box.Sender)
	}
	sender, known := s.senders.Get(key.String())
	if !known || sender.Leaving {
		return s, "", refuse("%s is no sender, or is leaving", key)
	}
	box = box.moved(where.offset, where.at)
	box.Sender = key
	return s.withBox(box), fmt.Sprintf("%s sends to %s", key, box.Info.Name), nil
}

// handover passes a box from its sender, which has nothing in flight on it, to
// another.
func (s State) handover(box Box, change wire.BoxChange, where step) (State, string, error) {
	if err := speaks(box, change); err != nil {
		return s, "", err
	}
	to := SenderKey{Node: change.ToNode, Incarnation: change.ToEntry}
	if sender, known := s.senders.Get(to.String()); !to.IsNone() && (!known || sender.Leaving) {
		return s, "", refuse("%s is no sender, or is leaving", to)
	}
	box = box.moved(where.offset, where.at)
	box.Sender = to
	return s.withBox(box), fmt.Sprintf("%s goes from %s#%d to %s", box.Info.Name, change.Node, change.Entry, to), nil
}

// speaks checks that a change comes from the box's present sender.
func speaks(box Box, change wire.BoxChange) error {
	if box.Sender != (SenderKey{Node: change.Node, Incarnation: change.Entry}) || box.Sender.IsNone() {
		return refuse("box %s is sent to by %q, not by %s#%d", box.Info.Name, box.Sender, change.Node, change.Entry)
	}
	return nil
}

// drain begins to empty a box, for another pool or for maintenance. A free box
// has nothing to wait for.
func (s State) drain(box Box, change wire.BoxChange, where step) (State, string, error) {
	target := change.Pool
	if target == "" {
		target = box.Pool
	}
	if err := s.mayDrain(box, target, change.Maintain, where.at); err != nil {
		return s, "", err
	}
	box = box.moved(where.offset, where.at)
	box.Phase, box.Target, box.Maintain = Draining, target, change.Maintain
	if box.Pool == FreePool {
		box = box.emptied(where.offset, where.at)
		return s.withBox(box), fmt.Sprintf("free box %s is in pool %s, %s", box.Info.Name, box.Pool, box.Phase), nil
	}
	return s.withBox(box), fmt.Sprintf("%s drains from %s for %s", box.Info.Name, box.Pool, purpose(box)), nil
}

func purpose(box Box) string {
	switch {
	case box.Target == box.Pool:
		return "maintenance"
	case box.Maintain:
		return "pool " + box.Target + " after maintenance"
	}
	return "pool " + box.Target
}

// withdraw ends a drain that must not take effect.
func (s State) withdraw(box Box, where step) (State, string, error) {
	if box.Phase != Draining {
		return s, "", refuse("box %s is %s, not draining", box.Info.Name, box.Phase)
	}
	return s.withBox(box.withdrawn(where.offset, where.at)), "drain withdrawn", nil
}

// empty says that the last request on a draining box has ended.
func (s State) empty(box Box, change wire.BoxChange, where step) (State, string, error) {
	if box.Phase != Draining {
		return s, "", refuse("box %s is %s, not draining", box.Info.Name, box.Phase)
	}
	if err := speaks(box, change); err != nil {
		return s, "", err
	}
	if where.at < box.HeldUntil {
		return s, "", refuse("requests of a lost sender may run on %s until %d", box.Info.Name, box.HeldUntil)
	}
	box = box.emptied(where.offset, where.at)
	return s.withBox(box), fmt.Sprintf("%s is empty and now in pool %s, %s", box.Info.Name, box.Pool, box.Phase), nil
}

// carry gives a maintenance to the keeper that asks. Only one may reboot a box:
// a second reboot would end while the box already serves again. A carrier that
// has left the roster is replaced.
func (s State) carry(box Box, where step) (State, string, error) {
	if box.Phase != Maintenance {
		return s, "", refuse("box %s is %s, not in maintenance", box.Info.Name, box.Phase)
	}
	if member, known := s.members.Get(box.Maintainer.Node); known && member.KeeperIncarnation == box.Maintainer.Incarnation {
		return s, "", refuse("%s carries out the maintenance of %s", box.Maintainer.Node, box.Info.Name)
	}
	box = box.moved(where.offset, where.at)
	box.Maintainer = KeeperKey{Node: where.batch.Node, Incarnation: where.batch.Incarnation}
	return s.withBox(box), fmt.Sprintf("%s carries out the maintenance of %s", where.batch.Node, box.Info.Name), nil
}

// back ends a maintenance.
func (s State) back(box Box, where step) (State, string, error) {
	if box.Phase != Maintenance {
		return s, "", refuse("box %s is %s, not in maintenance", box.Info.Name, box.Phase)
	}
	if box.Maintainer != (KeeperKey{Node: where.batch.Node, Incarnation: where.batch.Incarnation}) {
		return s, "", refuse("the maintenance of %s is carried out by %s", box.Info.Name, box.Maintainer.Node)
	}
	box = box.moved(where.offset, where.at)
	box.Maintainer = KeeperKey{}
	box.Phase, box.Health, box.MaintainedAt = Serving, wire.HealthUp, where.at
	return s.withBox(box), fmt.Sprintf("%s serves pool %s again", box.Info.Name, box.Pool), nil
}

// health records what is known of a box. It doesn't change the epoch, so that a
// flapping box can't refuse every proposal about it; a box that goes is freed
// from its drain.
func (s State) health(box Box, change wire.BoxChange, where step) (State, string, error) {
	if box.Health == change.Health {
		return s, "", refuse("box %s is known to be %s", box.Info.Name, box.Health)
	}
	switch change.Health {
	case wire.HealthUp, wire.HealthDown, wire.HealthLeaving, wire.HealthGone:
	default:
		return s, "", refuse("unknown health %q", change.Health)
	}
	was := box.Health
	box.Health, box.HealthChangedAt = change.Health, where.at
	box.ChangedAtOffset = where.offset
	return s.withBox(box), fmt.Sprintf("%s was %s and is %s", box.Info.Name, was, box.Health), nil
}
