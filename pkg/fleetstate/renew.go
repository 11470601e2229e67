package fleetstate

import (
	"damsonwinch/pkg/wire"
)

// memberTimeoutMs is the log time without a renewal after which a member leaves
// the member list. Leaving is always safe: a member loses nothing by it but the
// right to release senders.
const memberTimeoutMs = 60_000

// applyRenew applies the memberships and lease renewals of one zone.
func (s State) applyRenew(proposal wire.Proposal, from origin) (State, string, error) {
	for _, member := range proposal.Members {
		s = s.renewMember(member, from)
		s = s.renewSender(member, from)
	}
	if len(proposal.Members) > 0 {
		s = s.withoutExpired(s.zoneOf(proposal.Members[0].Node), from.logTimeMs)
	}
	return s, "renewed", nil
}

// renewMember renews a keeper's membership, or makes a newer incarnation the
// member. It ignores an older incarnation.
func (s State) renewMember(renewal wire.Member, from origin) State {
	member, known := s.members.Get(renewal.Node)
	if !known || member.KeeperIncarnation != renewal.Keeper {
		if known && renewal.Keeper < member.KeeperIncarnation {
			return s
		}
		member = Member{Node: renewal.Node, Zone: orPrevious(renewal.Hall, member.Zone), KeeperIncarnation: renewal.Keeper, JoinedOffset: from.offset}
	}
	member.Address = orPrevious(renewal.KeeperAddress, member.Address)
	member.RenewedAt = from.logTimeMs
	s.members = s.members.Set(renewal.Node, member)
	return s
}

// renewSender renews an entry's lease, or makes the entry a sender. It ignores a
// renewal that is not newer than the last one and one of a released sender.
func (s State) renewSender(renewal wire.Member, from origin) State {
	if renewal.Entry == 0 {
		return s
	}
	renewal.Hall = orPrevious(renewal.Hall, s.zoneOf(renewal.Node))
	key := SenderKey{Node: renewal.Node, Incarnation: renewal.Entry}
	sender, known := s.senders.Get(key.String())
	if known && renewal.Seq <= sender.Seq {
		return s
	}
	if newest, _ := s.released.Get(renewal.Node); !known && renewal.Entry <= newest {
		// This incarnation was released. The entry must come back as a newer one.
		return s
	}
	sender.Key = key
	sender.Zone = renewal.Hall
	sender.Address = orPrevious(renewal.EntryAddress, sender.Address)
	sender.Seq = renewal.Seq
	sender.AppliedOffset = renewal.Folded
	sender.RenewedAt = from.logTimeMs
	sender.Leaving = renewal.Leaving
	s.senders = s.senders.Set(key.String(), sender)
	return s
}

// orPrevious returns a value of a renewal, or the previous value if the renewal
// leaves it out: most renewals leave out what doesn't change.
func orPrevious(renewed, previous string) string {
	if renewed == "" {
		return previous
	}
	return renewed
}

// zoneOf returns the zone of the node's keeper, or "" if it is not a member.
func (s State) zoneOf(node string) string {
	member, _ := s.members.Get(node)
	return member.Zone
}

// withoutExpired returns the state without the members of a zone that have not
// renewed for longer than memberTimeoutMs. It also removes senders of the zone
// that have not renewed for as long, if they have no boxes.
func (s State) withoutExpired(zone string, nowMs int) State {
	for _, member := range s.Members() {
		if member.Zone == zone && member.RenewedAt < nowMs-memberTimeoutMs {
			s.members = s.members.Delete(member.Node)
		}
	}
	for _, sender := range s.Senders() {
		if sender.Zone == zone && sender.Boxes == 0 && sender.RenewedAt < nowMs-memberTimeoutMs {
			s.senders = s.senders.Delete(sender.Key.String())
		}
	}
	return s
}
