package keeper

import (
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

// witnessSenders notes when each sender's renewal was first read.
func (k *Keeper) witnessSenders() {
	now := k.now()
	present := map[string]bool{}
	for _, sender := range k.state.Senders() {
		name := sender.Key.String()
		present[name] = true
		k.witness = k.witness.WithRenewalRead(name, sender.Seq, now)
	}
	for _, name := range k.witness.Senders() {
		if !present[name] {
			k.witness = k.witness.WithoutSender(name)
		}
	}
}

// extend answers a sender that has lost the log.
func (k *Keeper) extend(args wire.ExtendArgs) wire.ExtendReply {
	key := fold.SenderKey{Node: args.Node, Incarnation: args.Entry}
	reply := wire.ExtendReply{Keeper: k.incarnation, LogFresh: k.logFresh()}
	k.witness, reply.Granted = k.witness.Extend(key.String(), k.now())
	if reply.Granted {
		k.deps.Metrics.Add("extensions_granted", 1)
	} else {
		k.deps.Metrics.Add("extensions_denied", 1)
	}
	return reply
}

// releaseLost proposes the release of senders that are lost.
func (k *Keeper) releaseLost() {
	for _, sender := range k.state.Senders() {
		if how, may := k.mayRelease(sender); may {
			k.proposeRelease(sender, how)
		}
	}
}

// mayRelease says by which rule, if any, this keeper may release a sender. The
// fold checks again what it can see.
func (k *Keeper) mayRelease(sender fold.Sender) (wire.ReleaseHow, bool) {
	member, joined := k.state.Member(k.node())
	if !joined || member.KeeperIncarnation != k.incarnation {
		return "", false
	}
	qualified := sender.Zone == member.Zone && lease.KnownToSender(member.JoinedOffset, sender.AppliedOffset)
	if sender.Key.Node == k.node() && k.hasEnded(sender.Key.Incarnation) {
		if qualified || k.witness.MayRelease(sender.Key.String(), k.now()) {
			return wire.ReleaseHowEnded, true
		}
	}
	if !k.witness.MayRelease(sender.Key.String(), k.now()) {
		return "", false
	}
	if qualified {
		return wire.ReleaseHowTime, true
	}
	missing, dropped := k.list.dropped(sender.Key.Node, sender.Zone)
	waited := k.now().Sub(missing) > milliseconds(k.deps.Settings.LeaseMs+k.deps.Settings.DriftMs)
	return wire.ReleaseHowList, dropped && waited && k.leadsHall(sender.Zone)
}

// hasEnded says whether an entry of this box has ended: its address refused a
// connection, or a later process has taken the address.
func (k *Keeper) hasEnded(entry int) bool {
	return k.roster.ended[entry] || entry < k.roster.own.Entry
}

func (k *Keeper) proposeRelease(sender fold.Sender, how wire.ReleaseHow) {
	k.witness = k.witness.WithReleaseProposed(sender.Key.String())
	k.propose(wire.Proposal{
		Kind:    wire.KindRelease,
		Cause:   "the sender does not renew",
		Release: &wire.Release{Node: sender.Key.Node, Entry: sender.Key.Incarnation, Seq: sender.Seq, How: how},
	})
}
