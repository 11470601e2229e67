package intake

import (
	"context"

	"damsonwinch/pkg/addressbook"
	"damsonwinch/pkg/job"
	"damsonwinch/pkg/ownership"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// submit submits a job to its pool. If the owner there can't tell whether another pool has accepted the job, at the same
// address by another configuration, these pools are asked first. A job that one of them has stays there, and the reply says
// that it is accepted. If one can't say whether it has the job, the reply is that failure.
func (r *Router) submit(ctx context.Context, args wire.JobArgs, view ownership.View) wire.JobReply {
	reply := r.route(ctx, submitMethod, args)
	if reply.Outcome != wire.JobOutcomeUnsettled {
		return reply
	}
	version := reply.OpenedBy
	args.Asked = reply.Former
	if len(args.Asked) == 0 {
		version = args.ConfigVersion
		args.Asked, args.AskedAll = otherPools(args, view), true
	}
	if reply, args = r.askPools(ctx, args, version, view.Layout); reply.Outcome != wire.JobOutcomeNoSuchJob {
		return reply
	}
	if reply = r.route(ctx, submitMethod, args); reply.Outcome == wire.JobOutcomeUnsettled {
		return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the queue's pool is changing", RetryAfterMs: retryAfterMs}
	}
	return reply
}

// askPools asks the pools in args.Asked for a submitted job, and closes its address there for configurations that are older
// than a version. It returns that there is no such job, with the pools that hold other jobs in args.Holding, or the reply to
// the client.
func (r *Router) askPools(ctx context.Context, args wire.JobArgs, version int, layout shard.Layout) (wire.JobReply, wire.JobArgs) {
	r.deps.Metrics.Add("submissions_sought_in_other_pools", 1)
	replies := r.routeAll(ctx, showMethod, closingCalls(args, version, layout))
	merged := mergeReplies(replies)
	switch merged.Outcome {
	case wire.JobOutcomeFound:
		r.deps.Metrics.Add("jobs_found_in_other_pools", 1)
		return wire.JobReply{Outcome: wire.JobOutcomeAccepted}, args
	case wire.JobOutcomeNoSuchJob:
		for index, reply := range replies {
			if !reply.HoldsNone {
				args.Holding = append(args.Holding, args.Asked[index])
			}
		}
	}
	return merged, args
}

// otherPools returns the names of all pools that may have accepted a job, except the one to which it is submitted.
func otherPools(args wire.JobArgs, view ownership.View) []string {
	var others []string
	for _, pool := range knownPools(view) {
		if pool != args.Pool {
			others = append(others, pool)
		}
	}
	return others
}

// closingCalls returns the arguments of the calls that ask the pools in args.Asked for a submitted job, each in the cell that
// would have accepted it.
func closingCalls(args wire.JobArgs, version int, layout shard.Layout) []wire.JobArgs {
	var calls []wire.JobArgs
	for _, pool := range args.Asked {
		lookup := argsForCell(args, pool, submissionShard(args, pool, layout))
		lookup.Spec, lookup.Closing, lookup.Asked, lookup.ConfigVersion = nil, true, nil, version
		calls = append(calls, lookup)
	}
	return calls
}

// submissionShard returns the number of the shard of a pool that accepts a job: the one for the pool's long-running jobs,
// or the one that is determined by the job's ID.
func submissionShard(args wire.JobArgs, pool string, layout shard.Layout) int {
	if args.Spec != nil && job.IsLongRunning(*args.Spec) {
		return layout.LongRunningJobShard(pool)
	}
	return layout.JobShard(args.Id)
}

// submissionAddress returns the address of a submitted job: long-running jobs have one of their own, since the cells that
// may have them are others.
func submissionAddress(args wire.JobArgs) string {
	if args.Spec != nil && job.IsLongRunning(*args.Spec) {
		return addressbook.LongRunning(args.Address)
	}
	return args.Address
}
