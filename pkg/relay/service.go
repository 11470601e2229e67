package relay

import (
	"context"
	"time"

	"damsonwinch/pkg/wire"
)

// Service is the net/rpc service from which followers read the stream of this node's relay.
type Service struct {
	relay *Relay
	// ctx ends all calls when the node stops. net/rpc passes no context to the methods.
	ctx context.Context
}

// NewService returns the service of a node's relay. Its calls end when ctx does.
func NewService(ctx context.Context, relay *Relay) *Service {
	return &Service{relay: relay, ctx: ctx}
}

// Follow replies with what this node holds of the stream. If it has nothing new for the follower it
// first waits for a record, at most as long as the follower allows and not longer than maxPeerWait.
func (s *Service) Follow(args wire.FollowArgs, reply *wire.FollowReply) error {
	// A request for the newest records waits for this node's first read. When the whole fleet
	// starts, that read has already been sent.
	next, wait := -1, maxPeerWait
	if !args.Newest {
		next, wait = args.Next, min(maxPeerWait, time.Duration(args.WaitMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	s.relay.tail.waitFor(ctx, next)
	result, err := s.relay.tail.replyTo(args, s.relay.deps.Clock.Now())
	if err != nil {
		return err
	}
	s.relay.deps.Metrics.Add("relay_answers", 1)
	*reply = result
	return nil
}
