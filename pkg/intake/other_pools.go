package intake

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// maxParallelLookups bounds how many cells of other pools one call asks at once.
const maxParallelLookups = 16

// findInOtherPools makes a call on a job that isn't in the pool to which its queue leads, by the configuration of this
// node. An earlier or a newer configuration may lead the queue to another pool, whose cell then has the job. It returns
// the reply of the cell that has the job. If one of the cells fails to reply, the job may be there, and the reply is
// that failure.
//
// A cancellation goes to the cells of all pools, too. Each owner that replies that it has no such job refuses later
// submissions of it, so that a submission that arrives late at a node with any configuration is refused.
func (r *Router) findInOtherPools(ctx context.Context, m method, args wire.JobArgs, view ownership.View) wire.JobReply {
	reply := mergeReplies(r.routeAll(ctx, m, otherPoolCalls(args, view)))
	if precedence(reply) == precedenceFound {
		r.deps.Metrics.Add("jobs_found_in_other_pools", 1)
	}
	return reply
}

// mergeReplies returns the reply to a client from those of several cells to a call on one job: the reply with the
// highest precedence, or that there is no such job if there are none.
func mergeReplies(replies []wire.JobReply) wire.JobReply {
	merged := wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
	for _, reply := range replies {
		if precedence(reply) > precedence(merged) {
			merged = reply
		}
	}
	return merged
}

// routeAll makes calls to several cells at the same time and returns the replies in the order of the calls.
func (r *Router) routeAll(ctx context.Context, m method, calls []wire.JobArgs) []wire.JobReply {
	replies := make([]wire.JobReply, len(calls))
	var group errgroup.Group
	group.SetLimit(maxParallelLookups)
	for index, args := range calls {
		group.Go(func() error {
			replies[index] = r.route(ctx, m, args)
			return nil
		})
	}
	// The functions always return nil. Failures are in the replies.
	_ = group.Wait()
	return replies
}

// otherPoolCalls returns the arguments of the calls on a job to the cells of all pools but its queue's. They don't show
// jobs of customers to a call without a key: that the queue needs none says nothing about the queues of other pools.
func otherPoolCalls(args wire.JobArgs, view ownership.View) []wire.JobArgs {
	args.Public = false
	var calls []wire.JobArgs
	for _, pool := range knownPools(view) {
		if pool == args.Pool {
			continue
		}
		number, longRunning := view.Layout.JobShard(args.Id), view.Layout.LongRunningJobShard(pool)
		calls = append(calls, argsForCell(args, pool, number))
		if longRunning != number {
			calls = append(calls, argsForCell(args, pool, longRunning))
		}
	}
	return calls
}

// knownPools returns the names of the pools that have or had cells, in order: those of the layout, and those that were
// added later and whose cells have been claimed.
func knownPools(view ownership.View) []string {
	pools := map[string]bool{}
	for _, pool := range view.Layout.Pools {
		pools[pool] = true
	}
	for cell := range view.Claims {
		if shard.IsPoolCell(cell) {
			pool, _ := shard.ParseCellName(cell)
			pools[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(pools))
}

// Precedences of the replies of several cells to a call on one job. The highest one is the reply to the client.
const (
	precedenceNoSuchJob = iota
	// precedenceRejected is that of replies that are about the call, for example that its key isn't in force.
	precedenceRejected
	precedenceRefused
	// precedenceUnknown is above precedenceRefused, which says that the call certainly has had no effect.
	precedenceUnknown
	precedenceFound
)

// precedence returns the precedence of a reply.
func precedence(reply wire.JobReply) int {
	switch reply.Outcome {
	case wire.JobOutcomeFound, wire.JobOutcomeAccepted:
		return precedenceFound
	case wire.JobOutcomeUnknown:
		return precedenceUnknown
	case wire.JobOutcomeRefused:
		return precedenceRefused
	case wire.JobOutcomeNoSuchJob:
		return precedenceNoSuchJob
	}
	return precedenceRejected
}

// noteAbsent logs that no cell that may have a job has it, with the claim of the cell to which the configuration of this
// node leads, and with the number of pools that were asked.
func (r *Router) noteAbsent(m method, args wire.JobArgs, view ownership.View, startedAt time.Time) {
	cell := shard.CellName(args.Pool, view.Layout.JobShard(args.Id))
	claim, _ := view.Owner(cell)
	r.deps.Metrics.Add("calls_absent", 1)
	r.deps.Logger.WithFields(logrus.Fields{
		"call": m.name, "queue": args.Queue, "job": args.Id, "cell": cell, "owner": claim.Node, "epoch": claim.Token, "version": args.ConfigVersion,
		"pools": len(knownPools(view)), "waited_ms": r.deps.Clock.Now().Sub(startedAt).Milliseconds(),
	}).Info("owner has no such job")
}
