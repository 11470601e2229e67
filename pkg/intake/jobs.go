package intake

import (
	"context"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// refuseUndecided counts and logs a call that arrives before the layout of the cells is decided, and returns the reply
// to it. If the call were routed, its job could get into the wrong cell and would not be found later.
func (r *Router) refuseUndecided(m method, args wire.JobArgs) wire.JobReply {
	reply := wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the layout of the cells has not been decided yet", RetryAfterMs: retryAfterMs}
	r.deps.Metrics.Add("calls_refused", 1)
	r.deps.Logger.WithFields(logrus.Fields{
		"call": m.name, "queue": args.Queue, "job": args.Id, "why": reply.Reason, "waits_for": r.deps.Cells.WaitReason(),
	}).Warn("call refused before the node can serve clients")
	return reply
}

// Submit implements damsonwinch.JobService. It sends a long-running job to the pool's cell for long-running
// jobs, and any other job to the cell that is determined by the job's ID. A job that another pool has accepted isn't
// accepted again.
func (r *Router) Submit(ctx context.Context, args wire.JobArgs) wire.JobReply {
	view := r.deps.Cells.View()
	if !view.Layout.Decided() {
		return r.refuseUndecided(submitMethod, args)
	}
	args.Address = submissionAddress(args)
	return r.submit(ctx, argsForCell(args, args.Pool, submissionShard(args, args.Pool, view.Layout)), view)
}

// Show implements damsonwinch.JobService. It calls the owner of the cell that has the job.
func (r *Router) Show(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return r.find(ctx, showMethod, args)
}

// Cancel implements damsonwinch.JobService. It calls the owner of the cell that has the job.
func (r *Router) Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return r.find(ctx, cancelMethod, args)
}

// find calls the owner of the cell that has a job. The job is in the pool to which its queue leads, unless the queue's
// pool has changed. There is no such job only if no pool has it.
func (r *Router) find(ctx context.Context, m method, args wire.JobArgs) wire.JobReply {
	view, startedAt := r.deps.Cells.View(), r.deps.Clock.Now()
	if !view.Layout.Decided() {
		return r.refuseUndecided(m, args)
	}
	reply := r.findInPool(ctx, m, args, view.Layout)
	if reply.Outcome == wire.JobOutcomeNoSuchJob {
		reply = r.findInOtherPools(ctx, m, args, view)
	}
	if reply.Outcome == wire.JobOutcomeNoSuchJob {
		r.noteAbsent(m, args, view, startedAt)
	}
	return reply
}

// findInPool calls the owner of the cell that has a job of the pool that args names. The arguments don't say whether
// the job is long-running, so there may be two such cells. The owners reply tentatively at first: that the cell of a
// job's ID doesn't have a long-running job is no reason for an append.
func (r *Router) findInPool(ctx context.Context, m method, args wire.JobArgs, layout shard.Layout) wire.JobReply {
	number, longRunning := layout.JobShard(args.Id), layout.LongRunningJobShard(args.Pool)
	if number == longRunning {
		return r.route(ctx, m, argsForCell(args, args.Pool, number))
	}
	tentative := args
	tentative.Tentative = true
	reply := r.findInCells(ctx, m, tentative, number, longRunning)
	if reply.Outcome != wire.JobOutcomeNoSuchJob {
		return reply
	}
	return r.findInCells(ctx, m, args, number, longRunning)
}

// findInCells calls the owner of the first cell of a pool, and then, if that cell doesn't have the job or fails to reply,
// that of the second one. The cells are given by the numbers of their shards.
func (r *Router) findInCells(ctx context.Context, m method, args wire.JobArgs, first, second int) wire.JobReply {
	reply := r.route(ctx, m, argsForCell(args, args.Pool, first))
	if reply.Outcome != wire.JobOutcomeNoSuchJob && !isFailure(reply) {
		return reply
	}
	return mergeReplies([]wire.JobReply{reply, r.route(ctx, m, argsForCell(args, args.Pool, second))})
}

// Pending implements damsonwinch.JobService. It returns the sum over all cells of the pool, and of all other pools if jobs
// may still wait there, or the failure of one cell if any has failed: a part of the sum would be taken for the whole.
func (r *Router) Pending(ctx context.Context, args wire.JobArgs) wire.JobReply {
	view := r.deps.Cells.View()
	if !view.Layout.Decided() {
		return r.refuseUndecided(pendingMethod, args)
	}
	sum := r.sumPending(ctx, args, view.Layout, args.Pool)
	if sum.Outcome != wire.JobOutcomeFound || sum.Settled || args.Address == "" {
		return sum
	}
	others := r.sumPending(ctx, args, view.Layout, otherPools(args, view)...)
	if others.Outcome != wire.JobOutcomeFound {
		return others
	}
	return wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: sum.Pending + others.Pending}
}

// sumPending returns the sum of the pending jobs over all cells of some pools, or the failure of one cell if any has failed.
// The sum is settled if no other pool holds jobs, by all of these cells.
func (r *Router) sumPending(ctx context.Context, args wire.JobArgs, layout shard.Layout, pools ...string) wire.JobReply {
	var calls []wire.JobArgs
	for _, pool := range pools {
		for number := range layout.Shards {
			calls = append(calls, argsForCell(args, pool, number))
		}
	}
	sum := wire.JobReply{Outcome: wire.JobOutcomeFound, Settled: true}
	for _, reply := range r.routeAll(ctx, pendingMethod, calls) {
		if reply.Outcome != wire.JobOutcomeFound {
			return reply
		}
		sum.Pending += reply.Pending
		sum.Settled = sum.Settled && reply.Settled
	}
	return sum
}

// argsForCell returns args with the name of a cell: a pool's shard of the given number. The pool in args remains the one
// to which the queue leads.
func argsForCell(args wire.JobArgs, pool string, number int) wire.JobArgs {
	args.Cell = shard.CellName(pool, number)
	return args
}
