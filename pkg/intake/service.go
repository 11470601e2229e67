package intake

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/wire"
)

// ServiceName is the name of the calls on cells between nodes.
const ServiceName = "Cells"

// serviceTimeout bounds a call of another node, whose own deadline net/rpc does
// not carry: no client of the users waits longer.
const serviceTimeout = 3 * time.Second

// Service answers other nodes' calls for the cells that this node owns. It never
// sends a call on.
type Service struct {
	self  ownership.Member
	cells Cells
	clock damsonwinch.Clock
	// context ends the calls when the node does: net/rpc gives its methods none.
	context context.Context
}

// NewService returns a node's service, whose calls end with a context.
func NewService(ctx context.Context, self ownership.Member, cells Cells, clock damsonwinch.Clock) *Service {
	return &Service{self: self, cells: cells, clock: clock, context: ctx}
}

// Submit hands in a job.
func (s *Service) Submit(args wire.JobArgs, reply *wire.JobReply) error {
	return s.answer(submit, args, reply)
}

// Show tells a job's state.
func (s *Service) Show(args wire.JobArgs, reply *wire.JobReply) error {
	return s.answer(show, args, reply)
}

// Cancel ends a job.
func (s *Service) Cancel(args wire.JobArgs, reply *wire.JobReply) error {
	return s.answer(cancel, args, reply)
}

// Pending counts a queue's jobs that have not begun.
func (s *Service) Pending(args wire.JobArgs, reply *wire.JobReply) error {
	return s.answer(pending, args, reply)
}

// Sync answers the fleet planner.
func (s *Service) Sync(args wire.SyncArgs, reply *wire.SyncReply) error {
	ctx, cancel := context.WithTimeout(s.context, serviceTimeout)
	defer cancel()
	if local, here := s.cells.LocalOwner(args.Cell); here {
		*reply = local.Sync(ctx, args)
	}
	return nil
}

// Claims tells who this node is and the claims that it knows.
func (s *Service) Claims(_ wire.ClaimsArgs, reply *wire.ClaimsReply) error {
	view := s.cells.View()
	now := s.clock.Now()
	*reply = wire.ClaimsReply{
		Node: s.self.Node, Incarnation: s.self.Incarnation, AgeMs: int(now.Sub(view.ConfirmedAt).Milliseconds()),
		StoreAgeMs: int(now.Sub(s.cells.StoreAnsweredAt()).Milliseconds()),
	}
	if view.Layout.Decided() {
		reply.Layout = &wire.Layout{Shards: view.Layout.Shards, Pools: view.Layout.Pools}
	}
	for _, claim := range view.Claims {
		reply.Claims = append(reply.Claims, wire.HeardClaim{Claim: claim.CellClaim, Token: claim.Token})
	}
	return nil
}

func (s *Service) answer(m method, args wire.JobArgs, reply *wire.JobReply) error {
	ctx, cancel := context.WithTimeout(s.context, serviceTimeout)
	defer cancel()
	local, here := s.cells.LocalOwner(args.Cell)
	if !here {
		*reply = wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "this node does not own the cell"}
		return nil
	}
	if refusal, admitted := s.cells.Admit(ctx, args); !admitted {
		*reply = refusal
		return nil
	}
	*reply = m.local(local, ctx, args)
	return nil
}
