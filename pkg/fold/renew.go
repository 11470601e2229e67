package fold

import (
	"damsonwinch/pkg/wire"
)

// rosterMs is the silence, by the log's time, after which a member leaves the
// roster. Leaving only takes the right to release others, so it is always safe.
const rosterMs = 60_000

// renew takes the roster places and renewals of one hall.
func (s State) renew(proposal wire.Proposal, where step) (State, string, error) {
	for _, member := range proposal.Members {
		s = s.renewMember(member, where)
		s = s.renewSender(member, where)
	}
	if len(proposal.Members) > 0 {
		s = s.withoutSilent(s.hallOf(proposal.Members[0].Node), where.at)
	}
	return s, "renewed", nil
}

func (s State) renewMember(renewal wire.Member, where step) State {
	member, known := s.members.Get(renewal.Node)
	if !known || member.KeeperIncarnation != renewal.Keeper {
		if known && renewal.Keeper < member.KeeperIncarnation {
			return s
		}
		member = Member{Node: renewal.Node, Zone: orKnown(renewal.Hall, member.Zone), KeeperIncarnation: renewal.Keeper, JoinedOffset: where.offset}
	}
	member.Address = orKnown(renewal.KeeperAddress, member.Address)
	member.RenewedAt = where.at
	s.members = s.members.Set(renewal.Node, member)
	return s
}

func (s State) renewSender(renewal wire.Member, where step) State {
	if renewal.Entry == 0 {
		return s
	}
	renewal.Hall = orKnown(renewal.Hall, s.hallOf(renewal.Node))
	key := SenderKey{Node: renewal.Node, Incarnation: renewal.Entry}
	sender, known := s.senders.Get(key.String())
	if known && renewal.Seq <= sender.Seq {
		return s
	}
	if newest, _ := s.released.Get(renewal.Node); !known && renewal.Entry <= newest {
		// It was released: it must come back as another incarnation.
		return s
	}
	sender.Key = key
	sender.Zone = renewal.Hall
	sender.Address = orKnown(renewal.EntryAddress, sender.Address)
	sender.Seq = renewal.Seq
	sender.AppliedOffset = renewal.Folded
	sender.RenewedAt = where.at
	sender.Leaving = renewal.Leaving
	s.senders = s.senders.Set(key.String(), sender)
	return s
}

// orKnown returns what a renewal says, or else what the log has already: most
// renewals leave out what doesn't change.
func orKnown(said, known string) string {
	if said == "" {
		return known
	}
	return said
}

func (s State) hallOf(node string) string {
	member, _ := s.members.Get(node)
	return member.Zone
}

// withoutSilent drops members of a hall that have long said nothing, and
// senders that hold no box and say nothing.
func (s State) withoutSilent(hall string, at int) State {
	for _, member := range s.Members() {
		if member.Zone == hall && member.RenewedAt < at-rosterMs {
			s.members = s.members.Delete(member.Node)
		}
	}
	for _, sender := range s.Senders() {
		if sender.Zone == hall && sender.Boxes == 0 && sender.RenewedAt < at-rosterMs {
			s.senders = s.senders.Delete(sender.Key.String())
		}
	}
	return s
}
