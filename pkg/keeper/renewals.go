package keeper

import (
	"context"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// callTimeout bounds a call to another keeper and a probe of an entry.
const callTimeout = time.Second

// renewals holds the renewals that this keeper has still to append, and what it knows
// about the entry on its box.
type renewals struct {
	// own is the last renewal that the entry on this box has handed in. Its Entry is
	// 0 before the first one.
	own wire.Member
	// received holds the renewals that other boxes have handed in since the last
	// proposal, by node.
	received map[string]wire.Member
	// exitedEntries holds the incarnations of the entry on this box that are known
	// to have exited.
	exitedEntries map[int]bool
	lastRenewedAt time.Time
	// probeInFlight says that a probe of the entry on this box is in progress.
	probeInFlight bool
}

func newRenewals() renewals {
	return renewals{received: map[string]wire.Member{}, exitedEntries: map[int]bool{}}
}

// handleRenewal accepts a renewal, which the keeper then proposes or forwards together
// with its own. It refuses the renewal if the keeper has not read the log recently, but
// even then keeps it if it comes from the entry on the keeper's own box.
func (k *Keeper) handleRenewal(message renewMessage) {
	member := message.member
	if member.Node == k.node() {
		if previous := k.renewals.own.Entry; previous != 0 && previous != member.Entry {
			k.renewals.exitedEntries[previous] = true
		}
		k.renewals.own = member
	} else if k.isLogFresh() {
		k.renewals.received[member.Node] = member
	}
	message.reply(k.isLogFresh())
}

// renew renews, once per renewal interval, the keeper's membership and the lease of
// the entry on its box. The zone's leader proposes the renewals of its whole zone;
// the other keepers hand theirs to the leader.
func (k *Keeper) renew(ctx context.Context) {
	now := k.now()
	if now.Sub(k.renewals.lastRenewedAt) < milliseconds(k.deps.Settings.RenewMs) {
		return
	}
	k.renewals.lastRenewedAt = now
	k.probeEntry(ctx)
	leader, found := k.zoneLeader()
	if found && leader.Node != k.node() && k.peers[leader.Node] != nil {
		k.forwardRenewal(ctx, leader.Node)
		return
	}
	k.proposeRenewal()
}

// proposeRenewal proposes this keeper's renewal together with those that it has
// received.
func (k *Keeper) proposeRenewal() {
	members := []wire.Member{k.ownRenewal()}
	for _, member := range k.renewals.received {
		members = append(members, member)
	}
	k.renewals.received = map[string]wire.Member{}
	for i, member := range members {
		members[i] = k.withoutUnchanged(member)
	}
	k.propose(wire.Proposal{Kind: wire.KindRenew, Members: members})
}

// withoutUnchanged returns a renewal without the zone and the addresses if the state
// has them already. Every keeper reads every renewal, so the size of renewals makes up
// most of the cost of controlling the fleet.
func (k *Keeper) withoutUnchanged(renewal wire.Member) wire.Member {
	member, isMember := k.state.Member(renewal.Node)
	sender, isSender := k.state.Sender(fleetstate.SenderKey{Node: renewal.Node, Incarnation: renewal.Entry})
	if !isMember || member.KeeperIncarnation != renewal.Keeper || member.Address != renewal.KeeperAddress {
		return renewal
	}
	if renewal.Entry != 0 && (!isSender || sender.Address != renewal.EntryAddress) {
		return renewal
	}
	renewal.Hall, renewal.KeeperAddress, renewal.EntryAddress = "", "", ""
	return renewal
}

// ownRenewal returns the renewal of this keeper's membership and of the lease of the
// entry on its box.
func (k *Keeper) ownRenewal() wire.Member {
	member := k.renewals.own
	member.Node = k.node()
	member.Hall = k.deps.Settings.Hall
	member.Keeper = k.incarnation
	member.KeeperAddress = k.deps.Settings.Address
	return member
}

// zoneLeader returns the leader of this keeper's zone and whether there is one.
func (k *Keeper) zoneLeader() (fleetstate.Member, bool) {
	return k.oldestMember(k.state.MembersInZone(k.deps.Settings.Hall))
}

// oldestMember returns the member that joined first among those that have renewed
// their membership recently, and whether there is one. That member is the leader of
// the given members.
func (k *Keeper) oldestMember(members []fleetstate.Member) (fleetstate.Member, bool) {
	var oldest fleetstate.Member
	found := false
	for _, member := range members {
		if member.RenewedAt < k.state.LogTimeMs()-k.renewalTimeoutMs() {
			continue
		}
		if !found || member.JoinedOffset < oldest.JoinedOffset || (member.JoinedOffset == oldest.JoinedOffset && member.Node < oldest.Node) {
			oldest, found = member, true
		}
	}
	return oldest, found
}

// forwardRenewal hands this keeper's renewal to the keeper on the node to.
func (k *Keeper) forwardRenewal(ctx context.Context, to string) {
	member := k.ownRenewal()
	client := k.peers[to]
	k.group.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply wire.RenewReply
		err := client.Do(callCtx, ServiceName+".Renew", wire.RenewArgs{Member: member}, &reply)
		k.send(ctx, forwardedMessage{member: member, accepted: err == nil && reply.Accepted})
		return nil
	})
}

// handleForwarded proposes the renewal here if the zone's leader didn't accept it.
func (k *Keeper) handleForwarded(message forwardedMessage) {
	if !message.accepted {
		k.proposeRenewal()
	}
}

// probeEntry connects to the entry on this box. If the connection is refused, the
// entry's process has exited.
func (k *Keeper) probeEntry(ctx context.Context) {
	own := k.renewals.own
	if own.Entry == 0 || k.renewals.probeInFlight || k.renewals.exitedEntries[own.Entry] {
		return
	}
	k.renewals.probeInFlight = true
	k.group.Go(func() error {
		dialCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		conn, err := k.deps.Dial(dialCtx, "tcp", own.EntryAddress)
		if err == nil {
			_ = conn.Close()
		}
		if call.ConnectionRefused(err) {
			k.send(ctx, entryExitedMessage{incarnation: own.Entry})
		}
		k.send(ctx, probedMessage{})
		return nil
	})
}

// probedMessage says that the probe of the entry on this box is done.
type probedMessage struct{}

// leadsZone reports whether this keeper is the leader of a zone. The leader does the
// work that only one keeper should do for the zone. A zone without members is led by
// the fleet's leader.
func (k *Keeper) leadsZone(zone string) bool {
	leader, found := k.oldestMember(k.state.MembersInZone(zone))
	if !found {
		return k.leadsFleet()
	}
	return leader.Node == k.node() && leader.KeeperIncarnation == k.incarnation
}

// leadsFleet reports whether this keeper is the fleet's leader, which makes the plans.
// Two keepers may consider themselves the leader at the same time. That is safe: a
// proposal about a box is refused if the box is no longer at the epoch on which the
// proposal was decided.
func (k *Keeper) leadsFleet() bool {
	leader, found := k.oldestMember(k.state.Members())
	return found && leader.Node == k.node() && leader.KeeperIncarnation == k.incarnation
}
