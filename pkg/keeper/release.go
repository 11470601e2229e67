package keeper

import (
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

// noteRenewals tells the grantor which renewal of each sender is the newest in the
// state. The grantor remembers when it was first read.
func (k *Keeper) noteRenewals() {
	now := k.now()
	present := map[string]bool{}
	for _, sender := range k.state.Senders() {
		name := sender.Key.String()
		present[name] = true
		k.grantor = k.grantor.WithRenewalRead(name, sender.Seq, now)
	}
	for _, name := range k.grantor.Senders() {
		if !present[name] {
			k.grantor = k.grantor.WithoutSender(name)
		}
	}
}

// extend replies to a sender that asks for an extension of its lease because it can't
// renew it through the log.
func (k *Keeper) extend(args wire.ExtendArgs) wire.ExtendReply {
	key := fleetstate.SenderKey{Node: args.Node, Incarnation: args.Entry}
	reply := wire.ExtendReply{Keeper: k.incarnation, LogFresh: k.isLogFresh()}
	k.grantor, reply.Granted = k.grantor.Extend(key.String(), k.now())
	if reply.Granted {
		k.deps.Metrics.Add("extensions_granted", 1)
	} else {
		k.deps.Metrics.Add("extensions_denied", 1)
	}
	return reply
}

// releaseLostSenders proposes to release the senders that are lost.
func (k *Keeper) releaseLostSenders() {
	for _, sender := range k.state.Senders() {
		if how, allowed := k.canRelease(sender); allowed {
			k.proposeRelease(sender, how)
		}
	}
}

// canRelease reports whether this keeper may propose to release a sender, and how it
// knows that the sender no longer sends:
//   - The sender's lease and this keeper's extensions of it have expired, and the
//     sender knows this keeper, so that it doesn't send without this keeper's
//     extensions (see lease.KnownToSender).
//   - The keeper has seen the entry on its own box exit. It must be known to the sender
//     or have waited until the lease and its extensions have expired.
//   - The lease and this keeper's extensions have expired, it leads the sender's zone,
//     and the platform's list has not shown the entry's box for longer than a lease
//     and the drift of clocks.
//
// Package fleetstate checks the release again when it is applied, as far as the state allows.
func (k *Keeper) canRelease(sender fleetstate.Sender) (wire.ReleaseHow, bool) {
	member, isMember := k.state.Member(k.node())
	if !isMember || member.KeeperIncarnation != k.incarnation {
		return "", false
	}
	knownToSender := sender.Zone == member.Zone && lease.KnownToSender(member.JoinedOffset, sender.AppliedOffset)
	if sender.Key.Node == k.node() && k.hasExited(sender.Key.Incarnation) {
		if knownToSender || k.grantor.MayRelease(sender.Key.String(), k.now()) {
			return wire.ReleaseHowEnded, true
		}
	}
	if !k.grantor.MayRelease(sender.Key.String(), k.now()) {
		return "", false
	}
	if knownToSender {
		return wire.ReleaseHowTime, true
	}
	missingSince, isMissing := k.list.missingSince(sender.Key.Node, sender.Zone)
	waited := k.now().Sub(missingSince) > milliseconds(k.deps.Settings.LeaseMs+k.deps.Settings.DriftMs)
	return wire.ReleaseHowList, isMissing && waited && k.leadsZone(sender.Zone)
}

// hasExited reports whether an incarnation of the entry on this box has exited: its
// address has refused a connection, or a later incarnation has handed in a renewal.
func (k *Keeper) hasExited(incarnation int) bool {
	return k.renewals.exitedEntries[incarnation] || incarnation < k.renewals.own.Entry
}

// proposeRelease proposes to release a sender. From then on the grantor denies the
// sender extensions, because the log may accept the proposal at any later time.
func (k *Keeper) proposeRelease(sender fleetstate.Sender, how wire.ReleaseHow) {
	k.grantor = k.grantor.WithReleaseProposed(sender.Key.String())
	k.propose(wire.Proposal{
		Kind:    wire.KindRelease,
		Cause:   "the sender does not renew",
		Release: &wire.Release{Node: sender.Key.Node, Entry: sender.Key.Incarnation, Seq: sender.Seq, How: how},
	})
}
