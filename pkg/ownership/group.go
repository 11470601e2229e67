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
		Group: groupName, Member: o.options.Self.Name(), Topics: []string{groupTopic}, TTL: max(o.options.TTL, leastTTL), Generation: o.state.generation,
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
		partitions, err := o.deps.Store.Owners(ctx, groupName)
		o.send(membersListed{members: distinct(partitions), askedAt: now, err: err})
		return nil
	})
}

// distinct returns the members that hold a partition, in order of their names.
// Of several lives of one node only the newest counts.
func distinct(partitions []damsonwinch.Partition) []Member {
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
