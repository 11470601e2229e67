package keeper

import (
	"context"
	"errors"

	"damsonwinch/pkg/wire"
)

var errStopping = errors.New("the keeper is stopping")

// service is the receiver of calls. Each becomes a message to the loop.
type service struct {
	keeper *Keeper
	ctx    context.Context //nolint:containedctx // net/rpc passes none to its methods.
}

// Read relays records.
func (s *service) Read(args wire.ReadArgs, reply *wire.ReadReply) error {
	answer := make(chan wire.ReadReply, 1)
	if !s.keeper.send(s.ctx, readMessage{args: args, reply: answer}) {
		return errStopping
	}
	select {
	case *reply = <-answer:
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}

// Renew takes an entry's renewal to the log.
func (s *service) Renew(args wire.RenewArgs, reply *wire.RenewReply) error {
	answer := make(chan bool, 1)
	if !s.keeper.send(s.ctx, renewMessage{member: args.Member, reply: answer}) {
		return errStopping
	}
	select {
	case reply.Accepted = <-answer:
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}

// Extend grants or denies an extension of a lease.
func (s *service) Extend(args wire.ExtendArgs, reply *wire.ExtendReply) error {
	answer := make(chan wire.ExtendReply, 1)
	if !s.keeper.send(s.ctx, extendMessage{args: args, reply: answer}) {
		return errStopping
	}
	select {
	case *reply = <-answer:
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}

// Propose queues proposals for the next append.
func (s *service) Propose(args wire.ProposeArgs, reply *wire.ProposeReply) error {
	answer := make(chan bool, 1)
	if !s.keeper.send(s.ctx, proposeMessage{proposals: args.Proposals, reply: answer}) {
		return errStopping
	}
	select {
	case reply.Queued = <-answer:
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}

// Status returns what the keeper has in force.
func (s *service) Status(args wire.StatusArgs, reply *wire.StatusReply) error {
	answer := make(chan wire.StatusReply, 1)
	if !s.keeper.send(s.ctx, statusMessage{args: args, reply: answer}) {
		return errStopping
	}
	select {
	case *reply = <-answer:
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}
