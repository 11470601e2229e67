package ownership

import (
	"context"
	"fmt"
	"slices"
	"time"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/succession"
	"damsonwinch/pkg/wire"
)

const (
	// memberUpstreamCount is the number of nodes that read the members from the store for all others in a
	// large fleet. The list grows with the fleet, so that a list for each node grows with its square: 588
	// nodes received 24 MB/s while members came and went.
	memberUpstreamCount = 8
	// maxMemberFailures is the number of consecutive failures after which a node that may be the next to take
	// over a cell reads the members from the store once. The other nodes first ask each upstream node.
	maxMemberFailures = 2
	// upstreamReadInterval is the time between two reads by a node that reads the members for others. Its list
	// reaches the next owners of cells after the request that follows.
	upstreamReadInterval = 200 * time.Millisecond
)

// noGeneration stands for the generation of a list of members that hasn't been read. Groups have none that
// is negative.
const noGeneration = -1

// Times of reads of the members while the group doesn't change.
const (
	// listSettleTime is how long after the group has changed the list may still change. The group assigns a
	// partition to a new member only once the holder has heard of it, with its next heartbeat.
	listSettleTime = joinInterval + callTimeout
	// followerSettleTime is that time for a node that asks others. It lets them read their lists first.
	followerSettleTime = listSettleTime + callTimeout
	// listLifetime is the longest time for which a list is used. The group may assign all partitions anew
	// without being asked.
	listLifetime = 10 * time.Second
)

// memberReadDue reports whether the members should be read. Apart from rare reads, they are read again only
// after a heartbeat has shown that the group has changed.
func (o *Ownership) memberReadDue(now time.Time) bool {
	s := &o.state
	if s.memberReadPending {
		return false
	}
	sinceLast := now.Sub(s.memberReadSentAt)
	if settledAt := o.membersSettledAt(); s.membersReadAt.Before(settledAt) && !now.Before(settledAt) && sinceLast >= tickInterval {
		return true
	}
	if s.listGeneration != s.generation {
		return sinceLast >= o.memberRetryInterval()
	}
	return o.listOutOfDate(now) && sinceLast >= o.memberRetryInterval()
}

// listOutOfDate reports whether the list may have changed although the generation of the group has not.
func (o *Ownership) listOutOfDate(now time.Time) bool {
	s := &o.state
	if now.Sub(s.listRequestedAt) >= listLifetime {
		return true
	}
	if !s.listRequestedAt.Before(s.generationSince.Add(followerSettleTime)) {
		return false
	}
	settledAt := s.generationSince.Add(listSettleTime)
	if len(o.memberUpstreams()) > 0 && !o.isMemberUpstream() {
		settledAt = s.generationSince.Add(followerSettleTime)
	}
	return s.listRequestedAt.Before(settledAt) && !now.Before(settledAt)
}

// memberRetryInterval returns the time after which the members are read again while the list is out of date. It
// is short if another node was asked and didn't have the present list.
func (o *Ownership) memberRetryInterval() time.Duration {
	s := &o.state
	upToDate := s.memberFailures == 0 && !s.memberListBehind
	switch {
	case o.isMemberUpstream():
		return upstreamReadInterval
	case upToDate:
		return o.memberReadInterval()
	case o.maySucceedSoon():
		return tickInterval
	}
	return joinInterval
}

// memberUpstreams returns the claims of the nodes that read the members for others, or none in a small fleet.
func (o *Ownership) memberUpstreams() []cellclaim.Claim {
	return cellclaim.Upstreams(o.state.claims, memberUpstreamCount, func(string) bool { return true })
}

// isMemberUpstream reports whether this node reads the members for others.
func (o *Ownership) isMemberUpstream() bool {
	return slices.ContainsFunc(o.memberUpstreams(), func(claim cellclaim.Claim) bool { return claim.Node == o.options.Self.Node })
}

// memberUpstream returns the address of the node from which this one reads the members, or false if it reads
// them from the store.
func (o *Ownership) memberUpstream() (string, bool) {
	s := &o.state
	upstreams := o.memberUpstreams()
	maxFailures := len(upstreams)
	if s.listGeneration != noGeneration && o.maySucceedSoon() {
		maxFailures = maxMemberFailures
	}
	if len(upstreams) == 0 || s.memberFailures >= maxFailures || o.isMemberUpstream() {
		return "", false
	}
	index := (succession.TieRank(membership.GroupName, o.options.Self.Node) + uint64(s.memberFetches)) % uint64(len(upstreams))
	return upstreams[index].Address, true
}

// readMembers starts to read the members of the group, from another node or from the store.
func (o *Ownership) readMembers(now time.Time) {
	s := &o.state
	generation, known := s.generation, s.memberList.Request(s.listGeneration)
	address, found := o.memberUpstream()
	if found {
		s.memberFetches++
	}
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		if found {
			o.send(o.fetchMembers(ctx, address, known, now))
		} else {
			o.send(o.readStoredMembers(ctx, generation, now))
		}
		return nil
	})
}

// readStoredMembers reads the members from the store. generation is the newest one that this node has heard of
// before.
func (o *Ownership) readStoredMembers(ctx context.Context, generation int, now time.Time) membersRead {
	list, err := o.members.List(ctx)
	return membersRead{list: list, generation: generation, sentAt: now, err: err}
}

// fetchMembers reads the members from another node. known describes this node's list.
func (o *Ownership) fetchMembers(ctx context.Context, address string, known wire.MembersArgs, now time.Time) membersRead {
	reply, err := o.deps.FetchMembers(ctx, address, known)
	if err != nil {
		return membersRead{fromPeer: true, err: err}
	}
	list, age, err := membership.FromReply(reply, o.options.Self)
	if err != nil {
		return membersRead{fromPeer: true, err: fmt.Errorf("members from %s: %w", address, err)}
	}
	return membersRead{
		list: list, unchanged: reply.Unchanged, generation: reply.Generation, sentAt: now.Add(-age), fromPeer: true,
	}
}

// confirmMembers notes that the list of members was still the newest one at a time.
func (o *Ownership) confirmMembers(at time.Time) {
	s := &o.state
	o.noteMembersRead(at)
	before := s.completeness.Complete()
	s.announced = s.announced.WithoutExpired(o.deps.Clock.Now())
	o.updateCompleteness(at)
	if s.completeness.Complete() != before {
		o.publishView()
	}
}

// updateCompleteness updates whether the members that this node knows count as complete, as of a time. If the list may
// hide members, they count as complete only if the hidden ones announce themselves, or if the group can't use more
// topics, because then no better list will come.
func (o *Ownership) updateCompleteness(at time.Time) {
	s := &o.state
	announced := len(s.announced.Members(s.memberList))
	count := len(s.memberList.Members()) + announced
	mayHideMembers := s.memberList.MayGrow() && announced == 0
	stable := !mayHideMembers && count == s.knownMembers && !at.Before(o.membersSettledAt())
	s.knownMembers = count
	s.completeness = s.completeness.WithRead(at, stable)
}

// noteMembersRead notes that this node knew the members at a time.
func (o *Ownership) noteMembersRead(at time.Time) {
	s := &o.state
	if at.After(s.membersReadAt) {
		s.membersReadAt = at
	}
	if s.membersFirstReadAt.IsZero() {
		s.membersFirstReadAt = at
	}
	o.membersConfirmedAt.Store(s.membersReadAt.UnixNano())
}

// MemberReply returns the reply to another node's request for the members, and notes the announcement in it.
func (o *Ownership) MemberReply(view View, args wire.MembersArgs) wire.MembersReply {
	if args.Announced != "" {
		o.send(memberAnnounced{name: args.Announced})
	}
	confirmedAt := o.membersConfirmedAt.Load()
	if confirmedAt == 0 || view.MemberGeneration == noGeneration {
		return wire.MembersReply{}
	}
	age := time.Duration(o.deps.Clock.Now().UnixNano() - confirmedAt)
	return view.list.Reply(args, view.MemberGeneration, age)
}
