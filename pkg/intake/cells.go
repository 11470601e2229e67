package intake

import (
	"context"

	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/job"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// undecidedReply returns the reply to a call that arrives before the layout of the cells is decided. A
// job could get into the wrong cell then, and would not be found later.
func undecidedReply() wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the layout of the cells has not been decided yet", RetryAfterMs: retryAfterMs}
}

// Submit implements damsonwinch.JobService. The job goes to a cell by its ID, or, if it is long-running,
// to its pool's cell for long-running jobs.
func (r *Router) Submit(ctx context.Context, args wire.JobArgs) wire.JobReply {
	layout := r.deps.Cells.View().Layout
	if !layout.Decided() {
		return undecidedReply()
	}
	number := layout.JobShard(args.Id)
	if args.Spec != nil && job.IsLongRunning(*args.Spec) {
		number = layout.LongRunningJobShard(args.Pool)
	}
	return r.route(ctx, submitMethod, argsForCell(args, number))
}

// Show implements damsonwinch.JobService.
func (r *Router) Show(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return r.find(ctx, showMethod, args)
}

// Cancel implements damsonwinch.JobService.
func (r *Router) Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return r.find(ctx, cancelMethod, args)
}

// find calls the owner of the cell that has a job. The call doesn't say whether the job is long-running,
// so it goes to the cell for the job's ID first, and to the pool's cell for long-running jobs if the first
// one doesn't have the job.
func (r *Router) find(ctx context.Context, m method, args wire.JobArgs) wire.JobReply {
	layout := r.deps.Cells.View().Layout
	if !layout.Decided() {
		return undecidedReply()
	}
	number, longRunning := layout.JobShard(args.Id), layout.LongRunningJobShard(args.Pool)
	reply := r.route(ctx, m, argsForCell(args, number))
	if reply.Outcome == wire.JobOutcomeNoSuchJob && longRunning != number {
		return r.route(ctx, m, argsForCell(args, longRunning))
	}
	return reply
}

// Pending implements damsonwinch.JobService. It returns the sum over all cells of the pool, or the failure
// of one cell if any has failed: a part of the sum would be taken for the whole.
func (r *Router) Pending(ctx context.Context, args wire.JobArgs) wire.JobReply {
	layout := r.deps.Cells.View().Layout
	if !layout.Decided() {
		return undecidedReply()
	}
	replies := make([]wire.JobReply, layout.Shards)
	var group errgroup.Group
	for number := range replies {
		group.Go(func() error {
			replies[number] = r.route(ctx, pendingMethod, argsForCell(args, number))
			return nil
		})
	}
	// The functions always return nil. Failures are in the replies.
	_ = group.Wait()
	sum := replies[0]
	for _, reply := range replies[1:] {
		if sum.Outcome != wire.JobOutcomeFound {
			break
		}
		reply.Pending += sum.Pending
		sum = reply
	}
	return sum
}

// argsForCell returns the arguments of a call with the cell of the given shard in place of the pool.
func argsForCell(args wire.JobArgs, number int) wire.JobArgs {
	args.Cell, args.Pool = shard.CellName(args.Pool, number), ""
	return args
}
