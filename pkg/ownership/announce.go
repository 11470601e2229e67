package ownership

import (
	"context"
	"time"
)

// announceInterval is the time between two announcements of a node. Two of them may be lost before the receiver drops
// the node.
const announceInterval = time.Second

// memberAnnounced is the announcement of the member with a name in the group.
type memberAnnounced struct{ name string }

// announceIfUnlisted announces this node to the owner of AnnounceCell if the group has assigned no partition to it, so
// that no list shows it. The platform assigns partitions of a limited number of topics, so that a large fleet with
// small topics has nodes that never get one. Announcements end with the decision on the layout, which alone needs them.
func (o *Ownership) announceIfUnlisted(now time.Time) {
	s := &o.state
	claim, known := s.claims[o.options.AnnounceCell]
	if !s.unassigned || s.layout.Decided() || !known || claim.Released || now.Sub(s.announcedAt) < announceInterval {
		return
	}
	s.announcedAt = now
	if claim.HeldBy(o.options.Self) {
		s.announced = s.announced.With(o.options.Self.Name(), now)
		return
	}
	request := s.memberList.Request(s.listGeneration)
	request.Announced = o.options.Self.Name()
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		if _, err := o.deps.FetchMembers(ctx, claim.Address, request); err != nil {
			o.deps.Metrics.Add("announcement_failures", 1)
		}
		return nil
	})
}

// handleAnnounced notes another node's announcement.
func (o *Ownership) handleAnnounced(m memberAnnounced, now time.Time) {
	s := &o.state
	before := len(s.announced.Members(s.memberList))
	s.announced = s.announced.With(m.name, now).WithoutExpired(now)
	if len(s.announced.Members(s.memberList)) != before {
		o.publishView()
	}
}
