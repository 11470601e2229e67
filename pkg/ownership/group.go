package ownership

import (
	"context"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// join starts the call that joins the group, or renews the membership.
func (o *Ownership) join() {
	topicCount, generation := o.state.topicCount, o.state.generation
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		joined, err := o.members.Join(ctx, topicCount, generation)
		o.send(joinReturned{membership: joined, err: err})
		return nil
	})
}

// handleJoined handles an answered Join call. If the one before it was sent much longer ago than usual, members may
// have been dropped meanwhile and need time to join again.
func (o *Ownership) handleJoined(joined damsonwinch.Membership, now time.Time) {
	s := &o.state
	if !s.joinAnsweredAt.IsZero() && s.joinSentAt.Sub(s.joinAnsweredAt) > o.memberReadInterval()+callTimeout {
		s.membersRecoveredAt = s.joinSentAt
	}
	s.joinAnsweredAt = s.joinSentAt
	if s.generation != joined.Generation {
		s.generation, s.generationSince = joined.Generation, now
	}
	s.unassigned = len(joined.Assigned) == 0
	o.answeredAt.Store(now.UnixNano())
	if s.generation == s.listGeneration {
		o.confirmMembers(s.joinSentAt)
	}
}

// handleMembersRead handles an answered read of the members.
func (o *Ownership) handleMembersRead(m membersRead) {
	s := &o.state
	s.memberFailures, s.memberListBehind = 0, m.fromPeer && m.generation != s.generation
	s.listRequestedAt = s.memberReadSentAt
	if m.unchanged {
		o.confirmMembers(m.sentAt)
		return
	}
	o.noteMembersRead(m.sentAt)
	s.topicCount = m.list.TopicsNeeded(s.topicCount)
	s.memberList, s.listGeneration = m.list, m.generation
	s.announced = s.announced.WithoutExpired(o.deps.Clock.Now())
	o.updateCompleteness(m.sentAt)
	o.invalidateRanking()
	o.publishView()
}

// handleMembersFailed handles a failed read of the members.
func (o *Ownership) handleMembersFailed(m membersRead) {
	s := &o.state
	o.deps.Metrics.Add("members_failures", 1)
	if m.fromPeer {
		s.memberFailures++
	} else {
		s.memberFailures = 0
	}
}

// spareSuccessors is the number of nodes, beyond one per cell, that read the members at
// fastMemberReadInterval, because several nodes may be lost at once.
const spareSuccessors = 3

// memberReadInterval returns the time between two reads of the members. A node reads less often if
// enough stronger members would take over cells before it: 147 nodes that all read at the fast interval
// receive 3.5 MB/s of lists.
func (o *Ownership) memberReadInterval() time.Duration {
	if o.state.unassigned {
		// The node has to learn how many topics the group uses by now.
		return joinInterval
	}
	if o.maySucceedSoon() {
		return fastMemberReadInterval
	}
	return slowMemberReadInterval
}

// maySucceedSoon reports whether this node may be the next to take over a cell.
func (o *Ownership) maySucceedSoon() bool {
	return o.state.memberList.StrongerCount() < len(o.state.cells)+spareSuccessors
}

// handleLeave releases this node's cells and leaves the group, so that the other nodes don't have to
// wait until this node counts as lost.
func (o *Ownership) handleLeave(m leaveRequested, _ time.Time) {
	s := &o.state
	s.leaving = true
	var own []wire.CellClaim
	for _, cell := range slices.Sorted(maps.Keys(s.claims)) {
		if claim := s.claims[cell]; claim.HeldBy(o.options.Self) {
			claim.Released = true
			own = append(own, claim.CellClaim)
		}
	}
	end := s.claimsEnd
	o.group.Go(func() error {
		defer close(m.done)
		for i, claim := range own {
			if err := o.appendClaim(claim, end+i); err != nil {
				o.deps.Logger.WithError(err).WithField("cell", claim.Cell).Warn("cell not released")
			}
		}
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		if err := o.members.Leave(ctx); err != nil {
			o.deps.Logger.WithError(err).Warn("group not left")
		}
		return nil
	})
}
