package node

import (
	"context"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/pkg/wire"
)

// maxVersionWait is how long a call that another node has forwarded waits for the configuration by which that
// node admitted it. A new configuration is in force on all nodes within half a second.
const maxVersionWait = 500 * time.Millisecond

// accessRules determine which clients' calls one version of the configuration admits.
type accessRules struct {
	version   int
	customers *customer.Index
	// publicQueues says for each queue of the configuration whether its calls need no key.
	publicQueues map[string]bool
	// replaced is closed once the rules of a newer version are in force.
	replaced chan struct{}
}

// newAccessRules returns the rules of a configuration. customers is the index of its customers.
func newAccessRules(configuration damsonwinch.Configuration, customers *customer.Index) *accessRules {
	rules := &accessRules{version: configuration.Version, customers: customers, publicQueues: make(map[string]bool, len(configuration.Queues)), replaced: make(chan struct{})}
	for _, queue := range configuration.Queues {
		rules.publicQueues[queue.Name] = queue.Public
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
