package keeper

import (
	"context"
	"errors"

	"damsonwinch/pkg/wire"
)

var errStopping = errors.New("the keeper is stopping")

// service is the net/rpc service of a keeper. Each call becomes a message to run.
type service struct {
	keeper *Keeper
	ctx    context.Context //nolint:containedctx // net/rpc passes no context to the methods.
}

// call passes a message to run and waits for its result, a function that sets the
// reply. The function is called here and not by run, so that nothing writes to a reply
// that net/rpc is already sending.
func (s *service) call(message any, results <-chan func()) error {
	if !s.keeper.send(s.ctx, message) {
		return errStopping
	}
	select {
	case setReply := <-results:
		setReply()
		return nil
	case <-s.ctx.Done():
		return errStopping
	}
}

// Read returns records of the fleet stream. If the keeper no longer has the requested
// ones, it returns a snapshot of the state instead.
func (s *service) Read(args wire.ReadArgs, reply *wire.ReadReply) error {
	results := make(chan func(), 1)
	return s.call(readMessage{args: args, reply: func(result wire.ReadReply) {
		results <- func() { *reply = result }
	}}, results)
}

// Renew hands a renewal to the keeper, which appends it to the log if it accepts it.
func (s *service) Renew(args wire.RenewArgs, reply *wire.RenewReply) error {
	results := make(chan func(), 1)
	return s.call(renewMessage{member: args.Member, reply: func(accepted bool) {
		results <- func() { reply.Accepted = accepted }
	}}, results)
}

// Extend grants or denies the extension of a sender's lease.
func (s *service) Extend(args wire.ExtendArgs, reply *wire.ExtendReply) error {
	results := make(chan func(), 1)
	return s.call(extendMessage{args: args, reply: func(result wire.ExtendReply) {
		results <- func() { *reply = result }
	}}, results)
}

// Propose queues proposals for the keeper's next append. The reply doesn't say whether
// they are accepted when they are applied.
func (s *service) Propose(args wire.ProposeArgs, reply *wire.ProposeReply) error {
	results := make(chan func(), 1)
	return s.call(proposeMessage{proposals: args.Proposals, reply: func(queued bool) {
		results <- func() { reply.Queued = queued }
	}}, results)
}

// Status returns the keeper's status with the parts that args asks for: the audit
// trail, the state, a plan.
func (s *service) Status(args wire.StatusArgs, reply *wire.StatusReply) error {
	results := make(chan func(), 1)
	return s.call(statusMessage{args: args, reply: func(result wire.StatusReply) {
		results <- func() { *reply = result }
	}}, results)
}
