package fleetstate

import (
	"fmt"

	"damsonwinch/pkg/lease"
	"damsonwinch/pkg/wire"
)

// applyRelease removes a lost sender, whose boxes can then be assigned to other
// senders. docs/design/senders-and-cuts.md says who may propose this.
func (s State) applyRelease(proposal wire.Proposal, from origin) (State, string, error) {
	if proposal.Release == nil {
		return s, "", refuse("a release proposal needs a release")
	}
	release := *proposal.Release
	key := SenderKey{Node: release.Node, Incarnation: release.Entry}
	sender, known := s.senders.Get(key.String())
	if !known {
		return s, "", refuse("%s holds nothing", key)
	}
	if sender.Seq != release.Seq {
		return s, "", refuse("%s renewed as %d after the proposer read %d", key, sender.Seq, release.Seq)
	}
	if err := s.checkRelease(sender, release, from); err != nil {
		return s, "", err
	}
	freed := 0
	for _, box := range s.Boxes() {
		if box.Sender == key {
			s = s.withBox(s.withoutSender(box, from))
			freed++
		}
	}
	s.senders = s.senders.Delete(key.String())
	newest, _ := s.released.Get(key.Node)
	s.released = s.released.Set(key.Node, max(newest, key.Incarnation))
	return s, fmt.Sprintf("%d boxes of %s are free for another sender", freed, key), nil
}

// checkRelease returns an error unless the keeper that proposes the release is a
// member and may know that the sender no longer sends. The release names one of
// these ways to know it:
//   - By time: a member of the sender's zone, which the sender knew, has waited
//     until the lease and every extension that it granted have run out.
//   - By its end: the keeper on the sender's node has seen the entry exit.
//   - By the platform's list, which no longer has the sender's box: a member of
//     another zone may use this only if the sender's zone has no other members.
func (s State) checkRelease(sender Sender, release wire.Release, from origin) error {
	proposer, known := s.members.Get(from.batch.Node)
	if !known || proposer.KeeperIncarnation != from.batch.Incarnation {
		return refuse("keeper %s incarnation %d is not a member", from.batch.Node, from.batch.Incarnation)
	}
	// The sender asks the members that it has found in the log to extend its lease.
	// It doesn't ask a keeper that joined later, so that such a keeper proves nothing
	// by waiting.
	knownToSender := proposer.Zone == sender.Zone && lease.KnownToSender(proposer.JoinedOffset, sender.AppliedOffset)
	switch release.How {
	case wire.ReleaseHowTime:
		if !knownToSender {
			return refuse("%s is not bound by the promises to %s: it joined at %d, the sender had folded %d",
				proposer.Node, sender.Key, proposer.JoinedOffset, sender.AppliedOffset)
		}
		return nil
	case wire.ReleaseHowEnded:
		if proposer.Node != sender.Key.Node {
			return refuse("only the keeper beside %s can see it end", sender.Key)
		}
		return nil
	case wire.ReleaseHowList:
		if proposer.Zone != sender.Zone && s.hasPeers(sender) {
			return refuse("hall %s has members left to release %s", sender.Zone, sender.Key)
		}
		return nil
	}
	return refuse("unknown evidence %q that %s has ended", release.How, sender.Key)
}

// hasPeers reports whether the sender's zone has members on other nodes.
func (s State) hasPeers(sender Sender) bool {
	for _, member := range s.MembersInZone(sender.Zone) {
		if member.Node != sender.Key.Node {
			return true
		}
	}
	return false
}

// Releasable reports whether the sender could be released if it were lost: a member
// on another node of its zone could do so by waiting, or there are no such
// members. Nobody in the zone can release a sender that has not yet applied the
// records by which the zone's members joined. It must get no boxes until then: they
// would stay without work if the sender were lost.
func (s State) Releasable(sender Sender) bool {
	if !s.hasPeers(sender) {
		return true
	}
	for _, member := range s.MembersInZone(sender.Zone) {
		if member.Node != sender.Key.Node && lease.KnownToSender(member.JoinedOffset, sender.AppliedOffset) {
			return true
		}
	}
	return false
}

// withoutSender returns a box without its lost sender, and with its drain
// cancelled. Requests of the lost sender may still be running on the box, so it
// can't be reported empty until the longest of them must have ended.
func (s State) withoutSender(box Box, from origin) Box {
	if box.Phase == Draining {
		box = box.drainCancelled(from.offset, from.logTimeMs)
	} else {
		box = box.withNextEpoch(from.offset, from.logTimeMs)
	}
	box.Sender = SenderKey{}
	box.HeldUntil = from.logTimeMs + s.maxRunMs(box.Pool)
	return box
}

// maxRunMs returns the longest time for which one attempt at a request of the
// pool's services may run, in milliseconds.
func (s State) maxRunMs(pool string) int {
	most := 0
	for _, service := range s.table.ServicesInPool(pool) {
		row, _ := s.table.Row(service)
		most = max(most, row.RunMs)
	}
	return most
}
