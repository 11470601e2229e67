package node

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/wire"
)

// awaitTime is how long a call of another node waits here for the configuration by which that
// node took it: a new one is in force everywhere within half a second.
const awaitTime = 500 * time.Millisecond

// inForce is what a configuration says of who may call.
type inForce struct {
	version int
	book    *customer.Index
	public  map[string]bool // By queue.
	// replaced is closed once a newer one is in force.
	replaced chan struct{}
}

func newInForce(configuration damsonwinch.Configuration, book *customer.Index) *inForce {
	known := &inForce{version: configuration.Version, book: book, public: make(map[string]bool, len(configuration.Queues)), replaced: make(chan struct{})}
	for _, queue := range configuration.Queues {
		known.public[queue.Name] = queue.Public
	}
	return known
}

// admits says whether a call may be made. The word of the node that took it isn't enough: it has
// to bring the digest of a key that leads to its customer here as well.
func (f *inForce) admits(args wire.JobArgs) (wire.JobOutcome, bool) {
	public, known := f.public[args.Queue]
	if public || f.book.Len() == 0 && args.Customer == "" {
		return "", true
	}
	if name, keyInForce := f.book.NameByKey(damsonwinch.ParseKeyDigest(args.Key)); keyInForce && name == args.Customer {
		return "", true
	}
	if !known {
		return wire.JobOutcomeUnknownQueue, false
	}
	return wire.JobOutcomeUnauthorized, false
}

// Admit implements intake.Cells.
func (n *Node) Admit(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool) {
	known := n.inForce.Load()
	if known == nil {
		return refusedForNow("no configuration yet"), false
	}
	outcome, admitted := known.admits(args)
	if !admitted && args.ConfigVersion > known.version {
		known = n.awaitVersion(ctx, args.ConfigVersion)
		outcome, admitted = known.admits(args)
	}
	switch {
	case admitted:
		return wire.JobReply{}, true
	case args.ConfigVersion > known.version:
		return refusedForNow("the owner's node doesn't know the configuration yet"), false
	}
	n.deps.Metrics.Add("calls_not_admitted", 1)
	return wire.JobReply{Outcome: outcome, Reason: "not by the owner's configuration"}, false
}

// awaitVersion waits for a version, for a while, and returns the one in force.
func (n *Node) awaitVersion(ctx context.Context, version int) *inForce {
	limit := n.deps.Clock.NewTimer(awaitTime)
	defer limit.Stop()
	for {
		known := n.inForce.Load()
		if known.version >= version {
			return known
		}
		select {
		case <-known.replaced:
		case <-limit.Chan():
			return n.inForce.Load()
		case <-ctx.Done():
			return n.inForce.Load()
		}
	}
}

// refusalRetryMs tells a client when to come back whose call can't be judged yet.
const refusalRetryMs = 500

func refusedForNow(reason string) wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: refusalRetryMs}
}
