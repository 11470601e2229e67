package node

import (
	"context"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// maxVersionWait is how long a call that another node has forwarded waits for the configuration by which that
// node admitted it. A new configuration is in force on all nodes within half a second.
const maxVersionWait = 500 * time.Millisecond

// accessRules determine which clients' calls one version of the configuration admits, and to which pools.
type accessRules struct {
	version   int
	customers *customer.Index
	// publicQueues says for each queue of the configuration whether its calls need no key.
	publicQueues map[string]bool
	// pools holds the name of the pool to which each queue leads, by queue.
	pools map[string]string
	// replaced is closed once the rules of a newer version are in force.
	replaced chan struct{}
}

// newAccessRules returns the rules of a configuration. customers is the index of its customers.
func newAccessRules(configuration damsonwinch.Configuration, customers *customer.Index) *accessRules {
	rules := &accessRules{
		version: configuration.Version, customers: customers, publicQueues: make(map[string]bool, len(configuration.Queues)),
		pools: make(map[string]string, len(configuration.Queues)), replaced: make(chan struct{}),
	}
	for _, queue := range configuration.Queues {
		rules.publicQueues[queue.Name] = queue.Public
		rules.pools[queue.Name] = queue.Pool
	}
	return rules
}

// admit reports whether a call is admitted. If not, it returns the outcome with which to refuse the call.
// That the forwarding node has admitted the call isn't enough: the key whose digest the call carries must
// belong to the call's customer by these rules too.
func (r *accessRules) admit(args wire.JobArgs) (wire.JobOutcome, bool) {
	public, exists := r.publicQueues[args.Queue]
	if public || r.customers.Len() == 0 && args.Customer == "" {
		return "", true
	}
	if name, keyInForce := r.customers.NameByKey(damsonwinch.ParseKeyDigest(args.Key)); keyInForce && name == args.Customer {
		return "", true
	}
	if !exists {
		return wire.JobOutcomeUnknownQueue, false
	}
	return wire.JobOutcomeUnauthorized, false
}

// Admit implements intake.Cells. If the forwarding node has admitted the call by a newer configuration, it
// waits up to maxVersionWait for that configuration.
func (n *Node) Admit(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool) {
	rules := n.accessRules.Load()
	if rules == nil {
		return refusedReply("no configuration yet"), false
	}
	outcome, admitted := rules.admit(args)
	if !admitted && args.ConfigVersion > rules.version {
		rules = n.waitForVersion(ctx, args.ConfigVersion)
		outcome, admitted = rules.admit(args)
	}
	switch {
	case admitted:
		return wire.JobReply{}, true
	case args.ConfigVersion > rules.version:
		return refusedReply("the owner's node doesn't have the configuration yet"), false
	}
	n.deps.Metrics.Add("calls_not_admitted", 1)
	return wire.JobReply{Outcome: outcome, Reason: "not admitted by the configuration of the owner's node"}, false
}

// CheckPool implements intake.Cells. It refuses a submission to a pool to which this node's configuration doesn't lead
// the queue, unless the caller's configuration is newer: another pool accepts the queue's jobs now.
//
// A lookup in another pool than the queue's by a newer configuration waits up to maxVersionWait for that configuration.
// From then on this node refuses the submissions of nodes with the older one, so that a job that is not found here isn't
// accepted here later. A closing lookup needs no wait: the cell records that it accepts no such submissions.
func (n *Node) CheckPool(ctx context.Context, args wire.JobArgs) (wire.JobReply, bool) {
	rules := n.accessRules.Load()
	if rules == nil {
		return refusedReply("no configuration yet"), false
	}
	called, _ := shard.ParseCellName(args.Cell)
	if args.Spec != nil {
		return rules.checkSubmission(args, called)
	}
	isLookup := args.Pool != "" && called != args.Pool && !args.Closing
	if !isLookup || args.ConfigVersion <= rules.version || rules.pools[args.Queue] == args.Pool {
		return wire.JobReply{}, true
	}
	if rules = n.waitForVersion(ctx, args.ConfigVersion); args.ConfigVersion > rules.version {
		return refusedReply(fmt.Sprintf("the owner's node has configuration %d, not %d", rules.version, args.ConfigVersion)), false
	}
	return wire.JobReply{}, true
}

// checkSubmission reports whether the cell of a pool may accept a job. If not, it returns the refusal.
func (r *accessRules) checkSubmission(args wire.JobArgs, called string) (wire.JobReply, bool) {
	pool, exists := r.pools[args.Queue]
	if !exists || pool == called || args.ConfigVersion > r.version {
		return wire.JobReply{}, true
	}
	return refusedReply(fmt.Sprintf("the queue leads to pool %s by configuration %d, not to %s", pool, r.version, called)), false
}

// waitForVersion waits until a version of the configuration, or a newer one, is in force, but at most for
// maxVersionWait. It returns the rules in force then.
func (n *Node) waitForVersion(ctx context.Context, version int) *accessRules {
	timer := n.deps.Clock.NewTimer(maxVersionWait)
	defer timer.Stop()
	for {
		rules := n.accessRules.Load()
		if rules.version >= version {
			return rules
		}
		select {
		case <-rules.replaced:
		case <-timer.Chan():
			return n.accessRules.Load()
		case <-ctx.Done():
			return n.accessRules.Load()
		}
	}
}

// refusalRetryMs is the time after which a client should retry, in milliseconds, if this node can't decide yet
// whether to admit the call.
const refusalRetryMs = 500

// refusedReply returns the refusal of a call that the client should retry after refusalRetryMs.
func refusedReply(reason string) wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: reason, RetryAfterMs: refusalRetryMs}
}
