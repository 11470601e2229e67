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

// ask passes a message to the loop and waits for its answer, which is set here
// so that nobody writes a reply that net/rpc is sending.
func (s *service) ask(message any, answers <-chan func()) error {
	if !s.keeper.send(s.ctx, message) {
		return errStopping
	}
	select {
	case set := <-answers:
		set()
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}

// Read relays records.
func (s *service) Read(args wire.ReadArgs, reply *wire.ReadReply) error {
	answers := make(chan func(), 1)
	return s.ask(readMessage{args: args, reply: func(answer wire.ReadReply) {
		answers <- func() { *reply = answer }
	}}, answers)
}

// Renew takes an entry's renewal to the log.
func (s *service) Renew(args wire.RenewArgs, reply *wire.RenewReply) error {
	answers := make(chan func(), 1)
	return s.ask(renewMessage{member: args.Member, reply: func(accepted bool) {
		answers <- func() { reply.Accepted = accepted }
	}}, answers)
}

// Extend grants or denies an extension of a lease.
func (s *service) Extend(args wire.ExtendArgs, reply *wire.ExtendReply) error {
	answers := make(chan func(), 1)
	return s.ask(extendMessage{args: args, reply: func(answer wire.ExtendReply) {
		answers <- func() { *reply = answer }
	}}, answers)
}

// Propose queues proposals for the next append.
func (s *service) Propose(args wire.ProposeArgs, reply *wire.ProposeReply) error {
	answers := make(chan func(), 1)
	return s.ask(proposeMessage{proposals: args.Proposals, reply: func(queued bool) {
		answers <- func() { reply.Queued = queued }
	}}, answers)
}

// Status returns what the keeper has in force.
func (s *service) Status(args wire.StatusArgs, reply *wire.StatusReply) error {
	answers := make(chan func(), 1)
	return s.ask(statusMessage{args: args, reply: func(answer wire.StatusReply) {
		answers <- func() { *reply = answer }
	}}, answers)
}
