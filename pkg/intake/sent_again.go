package intake

import (
	"context"

	"damsonwinch/pkg/job"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// confirmInFormerPools looks for a submitted job in the pools to which its queue led before. A job that one of them has
// accepted stays there, and the reply says that it is accepted. If one of them can't say whether it has the job, the
// reply is that failure. The second result is false if none of them has the job, so that it can be submitted to the
// present pool.
func (r *Router) confirmInFormerPools(ctx context.Context, args wire.JobArgs, layout shard.Layout) (wire.JobReply, bool) {
	calls := r.formerPoolCalls(args, layout)
	if len(calls) == 0 {
		return wire.JobReply{}, false
	}
	r.deps.Metrics.Add("submissions_sought_in_former_pools", 1)
	reply := mergeReplies(r.routeAll(ctx, showMethod, calls))
	switch reply.Outcome {
	case wire.JobOutcomeNoSuchJob:
		return wire.JobReply{}, false
	case wire.JobOutcomeFound:
		r.deps.Metrics.Add("jobs_found_in_other_pools", 1)
		return wire.JobReply{Outcome: wire.JobOutcomeAccepted}, true
	}
	return reply, true
}

// formerPoolCalls returns the arguments of the calls that ask the former pools of a queue for a submitted job, each in
// the cell that would have accepted it.
func (r *Router) formerPoolCalls(args wire.JobArgs, layout shard.Layout) []wire.JobArgs {
	var calls []wire.JobArgs
	for _, pool := range r.deps.Cells.FormerPools(args.Queue) {
		if pool == args.Pool {
			continue
		}
		lookup := argsForCell(args, pool, submissionShard(args, pool, layout))
		lookup.Spec, lookup.Public = nil, false
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
