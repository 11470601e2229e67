package intake

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// ServiceName is the net/rpc name under which a node registers its Service.
const ServiceName = "Cells"

// serviceTimeout bounds the handling of a call from another node, because net/rpc doesn't transmit the
// caller's deadline. No client waits longer.
const serviceTimeout = 3 * time.Second

// Service handles the calls of other nodes for the cells that this node owns. It never forwards a call.
type Service struct {
	self  membership.Member
	cells Cells
	clock damsonwinch.Clock
	// ctx ends all calls when the node stops. net/rpc passes no context to the methods.
	ctx context.Context
}

// NewService returns the service of the node self. Its calls end when ctx does.
func NewService(ctx context.Context, self membership.Member, cells Cells, clock damsonwinch.Clock) *Service {
	return &Service{self: self, cells: cells, clock: clock, ctx: ctx}
}

// Submit passes a job to the owner of its cell. args.Cell names the cell.
func (s *Service) Submit(args wire.JobArgs, reply *wire.JobReply) error {
	return s.handle(submitMethod, args, reply)
}

// Show asks the owner of the cell that args names for a job's state.
func (s *Service) Show(args wire.JobArgs, reply *wire.JobReply) error {
	return s.handle(showMethod, args, reply)
}

// Cancel makes the owner of the cell that args names end a job permanently.
func (s *Service) Cancel(args wire.JobArgs, reply *wire.JobReply) error {
	return s.handle(cancelMethod, args, reply)
}

// Pending returns the number of a queue's jobs that have not started, in the cell that args names.
func (s *Service) Pending(args wire.JobArgs, reply *wire.JobReply) error {
	return s.handle(pendingMethod, args, reply)
}

// Sync passes a call of the fleet planner to the owner of a cell. The reply's Known is false if the owner
// isn't on this node.
func (s *Service) Sync(args wire.SyncArgs, reply *wire.SyncReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serviceTimeout)
	defer cancel()
	if owner, isLocal := s.cells.LocalOwner(args.Cell); isLocal {
		*reply = owner.Sync(ctx, args)
	}
	return nil
}

// Claims returns the identity of this node and how old its knowledge is, and, unless the caller wants only
// that, the claims that it knows.
func (s *Service) Claims(args wire.ClaimsArgs, reply *wire.ClaimsReply) error {
	view := s.cells.View()
	now := s.clock.Now()
	*reply = wire.ClaimsReply{
		Node: s.self.Node, Incarnation: s.self.Incarnation, AgeMs: int(now.Sub(view.ConfirmedAt).Milliseconds()),
		StoreAgeMs: int(now.Sub(s.cells.StoreAnsweredAt()).Milliseconds()),
	}
	if args.WithoutClaims {
		return nil
	}
	if view.Layout.Decided() {
		reply.Layout = &wire.Layout{Shards: view.Layout.Shards, Pools: view.Layout.Pools}
	}
	for _, claim := range view.Claims {
		reply.Claims = append(reply.Claims, wire.HeardClaim{Claim: claim.CellClaim, Token: claim.Token})
	}
	return nil
}

// Members returns the members of the group of nodes that this node knows.
func (s *Service) Members(args wire.MembersArgs, reply *wire.MembersReply) error {
	*reply = s.cells.MemberReply(args)
	return nil
}

// Directory returns what has changed in the lists of some cells' endpoints, if this node has them.
func (s *Service) Directory(args wire.DirectoryArgs, reply *wire.DirectoryReply) error {
	*reply = s.cells.DirectoryReply(args)
	return nil
}

// handle passes a call on jobs to the owner of its cell, if that is on this node and the call is admitted.
func (s *Service) handle(m method, args wire.JobArgs, reply *wire.JobReply) error {
	ctx, cancel := context.WithTimeout(s.ctx, serviceTimeout)
	defer cancel()
	owner, isLocal := s.cells.LocalOwner(args.Cell)
	if !isLocal {
		*reply = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "this node does not own the cell"}
		return nil
	}
	if refusal, admitted := s.cells.Admit(ctx, args); !admitted {
		*reply = refusal
		return nil
	}
	*reply = callOwner(ctx, s.cells, owner, m, args)
	return nil
}

// callOwner makes a call on an owner on this node, which is that of the cell that args names. If the queue leads to
// another pool, the owner accepts no job of it. If this node can't tell yet, the owner still shows and cancels the jobs
// that it has, but it denies none.
func callOwner(ctx context.Context, cells Cells, owner CellOwner, m method, args wire.JobArgs) wire.JobReply {
	refusal, permitted := cells.CheckPool(ctx, args)
	if !permitted && args.Spec != nil {
		return confirmSubmission(ctx, owner, args, refusal)
	}
	reply := m.invoke(owner, ctx, args)
	if !permitted && reply.Outcome == wire.JobOutcomeNoSuchJob {
		return refusal
	}
	return reply
}

// confirmSubmission replies to a submission that an owner may not accept. A job that the owner has accepted before
// remains accepted: its client has not received the reply.
func confirmSubmission(ctx context.Context, owner CellOwner, args wire.JobArgs, refusal wire.JobReply) wire.JobReply {
	args.Spec = nil
	if owner.Show(ctx, args).Outcome == wire.JobOutcomeFound {
		return wire.JobReply{Outcome: wire.JobOutcomeAccepted}
	}
	return refusal
}
