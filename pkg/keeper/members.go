package keeper

import (
	"context"
	"time"

	"damsonwinch/pkg/call"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

const callTimeout = time.Second

// roster is what the keeper knows of its hall beside the log.
type roster struct {
	// own is the last renewal of the entry beside this keeper.
	own wire.Member
	// received are renewals that others have handed to this keeper.
	received map[string]wire.Member
	ended    map[int]bool
	renewed  time.Time
	probing  bool
}

func newRoster() roster {
	return roster{received: map[string]wire.Member{}, ended: map[int]bool{}}
}

// takeRenewal takes a renewal to the log, if the keeper has one.
func (k *Keeper) takeRenewal(message renewMessage) {
	member := message.member
	if member.Node == k.node() {
		if previous := k.roster.own.Entry; previous != 0 && previous != member.Entry {
			k.roster.ended[previous] = true
		}
		k.roster.own = member
	} else if k.logFresh() {
		k.roster.received[member.Node] = member
	}
	message.reply(k.logFresh())
}

// renewMembers says once a renewal interval who is there. One keeper says it
// for its hall; the others hand it their part.
func (k *Keeper) renewMembers(ctx context.Context) {
	now := k.now()
	if now.Sub(k.roster.renewed) < milliseconds(k.deps.Settings.RenewMs) {
		return
	}
	k.roster.renewed = now
	k.probeEntry(ctx)
	writer, known := k.hallWriter()
	if known && writer.Node != k.node() && k.peers[writer.Node] != nil {
		k.forwardRenewal(ctx, writer.Node)
		return
	}
	k.proposeRenewal()
}

func (k *Keeper) proposeRenewal() {
	members := []wire.Member{k.ownMember()}
	for _, member := range k.roster.received {
		members = append(members, member)
	}
	k.roster.received = map[string]wire.Member{}
	for i, member := range members {
		members[i] = k.withoutKnown(member)
	}
	k.propose(wire.Proposal{Kind: wire.KindRenew, Members: members})
}

// withoutKnown leaves out of a renewal what the log has already. Every keeper
// reads every renewal, so that their size is most of what control costs.
func (k *Keeper) withoutKnown(renewal wire.Member) wire.Member {
	member, known := k.state.Member(renewal.Node)
	sender, sends := k.state.Sender(fold.SenderKey{Node: renewal.Node, Incarnation: renewal.Entry})
	if !known || member.KeeperIncarnation != renewal.Keeper || member.Address != renewal.KeeperAddress {
		return renewal
	}
	if renewal.Entry != 0 && (!sends || sender.Address != renewal.EntryAddress) {
		return renewal
	}
	renewal.Hall, renewal.KeeperAddress, renewal.EntryAddress = "", "", ""
	return renewal
}

// ownMember returns the keeper's own place with its entry's last renewal.
func (k *Keeper) ownMember() wire.Member {
	member := k.roster.own
	member.Node = k.node()
	member.Hall = k.deps.Settings.Hall
	member.Keeper = k.incarnation
	member.KeeperAddress = k.deps.Settings.Address
	return member
}

// hallWriter returns the member that speaks for the hall: the one that renewed
// lately and joined first.
func (k *Keeper) hallWriter() (fold.Member, bool) {
	return k.eldest(k.state.MembersInZone(k.deps.Settings.Hall))
}

func (k *Keeper) eldest(members []fold.Member) (fold.Member, bool) {
	var eldest fold.Member
	found := false
	for _, member := range members {
		if member.RenewedAt < k.state.LogTimeMs()-k.liveFor() {
			continue
		}
		if !found || member.JoinedOffset < eldest.JoinedOffset || (member.JoinedOffset == eldest.JoinedOffset && member.Node < eldest.Node) {
			eldest, found = member, true
		}
	}
	return eldest, found
}

func (k *Keeper) forwardRenewal(ctx context.Context, to string) {
	member := k.ownMember()
	client := k.peers[to]
	k.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply wire.RenewReply
		err := client.Do(limited, ServiceName+".Renew", wire.RenewArgs{Member: member}, &reply)
		k.send(ctx, forwardedMessage{member: member, taken: err == nil && reply.Accepted})
		return nil
	})
}

// takeForwarded says the renewal itself when the hall's writer didn't take it.
func (k *Keeper) takeForwarded(message forwardedMessage) {
	if !message.taken {
		k.proposeRenewal()
	}
}

// probeEntry asks the entry beside this keeper whether it lives. A refused
// connection shows that its process has ended.
func (k *Keeper) probeEntry(ctx context.Context) {
	own := k.roster.own
	if own.Entry == 0 || k.roster.probing || k.roster.ended[own.Entry] {
		return
	}
	k.roster.probing = true
	k.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		conn, err := k.deps.Dial(limited, "tcp", own.EntryAddress)
		if err == nil {
			_ = conn.Close()
		}
		if call.ConnectionRefused(err) {
			k.send(ctx, entryEndedMessage{entry: own.Entry})
		}
		k.send(ctx, probedMessage{})
		return nil
	})
}

// probedMessage says that the probe of the entry is over.
type probedMessage struct{}

// leadsHall says whether this keeper does the work that one member does for a
// hall. A hall without members is looked after by the fleet's eldest.
func (k *Keeper) leadsHall(hall string) bool {
	leader, found := k.eldest(k.state.MembersInZone(hall))
	if !found {
		return k.leadsFleet()
	}
	return leader.Node == k.node() && leader.KeeperIncarnation == k.incarnation
}

// leadsFleet says whether this keeper plans for the fleet. Two may think so at
// once; the epochs in their proposals keep that safe.
func (k *Keeper) leadsFleet() bool {
	leader, found := k.eldest(k.state.Members())
	return found && leader.Node == k.node() && leader.KeeperIncarnation == k.incarnation
}
