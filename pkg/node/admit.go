package node

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/wire"
)

// maxVersionWait is how long a call of another node waits here for the configuration by which that
// node took it: a new one is in force everywhere within half a second.
const maxVersionWait = 500 * time.Millisecond

// accessRules is what a configuration says of who may call.
type accessRules struct {
	version      int
	customers    *customer.Index
	publicQueues map[string]bool // By queue.
	// replaced is closed once a newer one is in force.
	replaced chan struct{}
}

func newAccessRules(configuration damsonwinch.Configuration, book *customer.Index) *accessRules {
	known := &accessRules{version: configuration.Version, customers: book, publicQueues: make(map[string]bool, len(configuration.Queues)), replaced: make(chan struct{})}
	for _, queue := range configuration.Queues {
		known.publicQueues[queue.Name] = queue.Public
	}
	return known
}

// admit says whether a call may be made. The word of the node that took it isn't enough: it has
// to bring the digest of a key that leads to its customer here as well.
func (f *accessRules) admit(args wire.JobArgs) (wire.JobOutcome, bool) {
	public, known := f.publicQueues[args.Queue]
	if public || f.customers.Len() == 0 && args.Customer == "" {
		return "", true
	}
	if name, keyInForce := f.customers.NameByKey(damsonwinch.ParseKeyDigest(args.Key)); keyInForce && name == args.Customer {
		return "", true
	}
	if !known {
		return wire.JobOutcomeUnknownQueue, false
	}
	return wire.JobOutcomeUnauthorized, false
}

// Admit implements intake.Cells.
func (n *Node) Admit(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool) {
	known := n.accessRules.Load()
	if known == nil {
		return refusedReply("no configuration yet"), false
	}
	outcome, admitted := known.admit(args)
	if !admitted && args.ConfigVersion > known.version {
		known = n.waitForVersion(ctx, args.ConfigVersion)
		outcome, admitted = known.admit(args)
	}
	switch {
	case admitted:
		return wire.JobReply{}, true
	case args.ConfigVersion > known.version:
		return refusedReply("the owner's node doesn't know the configuration yet"), false
	}
	n.deps.Metrics.Add("calls_not_admitted", 1)
	return wire.JobReply{Outcome: outcome, Reason: "not by the owner's configuration"}, false
}

// waitForVersion waits for a version, for a while, and returns the one in force.
func (n *Node) waitForVersion(ctx context.Context, version int) *accessRules {
	limit := n.deps.Clock.NewTimer(maxVersionWait)
	defer limit.Stop()
	for {
		known := n.accessRules.Load()
		if known.version >= version {
			return known
		}
		select {
		case <-known.replaced:
		case <-limit.Chan():
			return n.accessRules.Load()
		case <-ctx.Done():
			return n.accessRules.Load()
		}
	}
}

// refusalRetryMs tells a client when to come back whose call can't be judged yet.
const refusalRetryMs = 500

func refusedReply(reason string) wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: refusalRetryMs}
}
