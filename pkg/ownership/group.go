package ownership

import (
	"context"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

func (o *Ownership) join() {
	request := damsonwinch.JoinRequest{
		Group: groupName, Member: o.options.Self.Name(), Topics: o.topics(), TTL: max(o.options.MembershipTTL, leastTTL), Generation: o.state.generation,
	}
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		membership, err := o.deps.Store.Join(ctx, request)
		o.send(joined{membership: membership, err: err})
		return nil
	})
}

func (o *Ownership) readMembers(now time.Time) {
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		partitions, err := o.deps.Store.Assignments(ctx, groupName)
		o.send(membersListed{members: distinct(partitions), topics: topicsOf(partitions), crowded: crowded(partitions), askedAt: now, err: err})
		return nil
	})
}

// takeMembers takes who is in the group.
func (o *Ownership) takeMembers(m membersListed) {
	s := &o.state
	if !s.membersAt.IsZero() && m.askedAt.Sub(s.membersAt) > o.readEvery()+callTimeout {
		s.regroupedAt = m.askedAt
	}
	o.noteSteady(m)
	// Members that deal in fewer topics than others would hold no partition.
	s.topics = min(max(s.topics, m.topics), mostTopics)
	if m.crowded {
		s.topics = min(2*s.topics, mostTopics)
	}
	s.roster, s.membersAt, s.watchedOld = newRoster(m.members, o.options.Self), m.askedAt, true
	o.publish()
}

// mostTopics bounds the topics of the group: the platform keeps 100 in all, of as few as 12
// partitions.
const mostTopics = 40

// topics returns the topics whose partitions the group deals out.
func (o *Ownership) topics() []string {
	names := make([]string, 0, o.state.topics)
	for number := 1; number <= o.state.topics; number++ {
		names = append(names, numbered(groupTopic, number))
	}
	return names
}

// spareShare is the part of the partitions, in percent of the members that are listed,
// that must be left over for the list to be complete. With 147 nodes on 96 partitions one
// was dealt two, and 52 had none.
const spareShare = 25

// crowded says whether hardly a partition is left over. There may be members that hold
// none then, and the list doesn't show them.
func crowded(partitions []damsonwinch.Assignment) bool {
	holders := make(map[string]bool, len(partitions))
	for _, partition := range partitions {
		holders[partition.Member] = true
	}
	return len(partitions)*100 < len(holders)*(100+spareShare)
}

// topicsOf counts the topics whose partitions are dealt out.
func topicsOf(partitions []damsonwinch.Assignment) int {
	topics := map[string]bool{}
	for _, partition := range partitions {
		topics[partition.Stream.Topic] = true
	}
	return len(topics)
}

// sparedHeirs is the number of members beyond one a cell that watch closely: some
// may be lost at once.
const sparedHeirs = 3

// readEvery returns the time between two readings of the members. A node that
// others would go before in taking over any cell can do with fewer: 147 nodes that all
// read closely take 3.5 MB/s of lists.
func (o *Ownership) readEvery() time.Duration {
	if o.state.unlisted {
		// It has to learn over how many topics the group is spread by now.
		return joinEvery
	}
	if o.state.roster.ahead < len(o.state.cells)+sparedHeirs {
		return membersEvery
	}
	return restEvery
}

// distinct returns the members that hold a partition, in order of their names.
// Of several lives of one node only the newest counts.
func distinct(partitions []damsonwinch.Assignment) []Member {
	byNode := map[string]Member{}
	for _, partition := range partitions {
		member, understood := parseMember(partition.Member)
		if understood && member.Incarnation >= byNode[member.Node].Incarnation {
			byNode[member.Node] = member
		}
	}
	members := make([]Member, 0, len(byNode))
	for _, node := range slices.Sorted(maps.Keys(byNode)) {
		members = append(members, byNode[node])
	}
	return members
}

// leave releases the node's cells, so that others need not wait for its silence.
func (o *Ownership) leave(m leave, _ time.Time) {
	s := &o.state
	s.leaving = true
	var mine []wire.CellClaim
	for _, cell := range slices.Sorted(maps.Keys(s.claims)) {
		if claim := s.claims[cell]; claim.HeldBy(o.options.Self) {
			claim.Released = true
			mine = append(mine, claim.CellClaim)
		}
	}
	end := s.end
	o.group.Go(func() error {
		defer close(m.done)
		for i, claim := range mine {
			if err := o.appendClaim(claim, end+i); err != nil {
				o.deps.Logger.WithError(err).WithField("cell", claim.Cell).Warn("cell not released")
			}
		}
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		if err := o.deps.Store.Leave(ctx, groupName, o.options.Self.Name()); err != nil {
			o.deps.Logger.WithError(err).Warn("group not left")
		}
		return nil
	})
}
