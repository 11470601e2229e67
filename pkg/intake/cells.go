package intake

import (
	"context"

	"golang.org/x/sync/errgroup"

	"damsonwinch/pkg/job"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// undecided is the reply to a call that comes before it is known into how many cells the
// pools are cut.
func undecided() wire.JobReply {
	return wire.JobReply{Outcome: wire.JobOutcomeRefused, Reason: "the cells have not been laid out yet", RetryAfterMs: retryAfterMs}
}

// Submit implements damsonwinch.Jobs.
func (r *Router) Submit(ctx context.Context, args wire.JobArgs) wire.JobReply {
	layout := r.deps.Cells.View().Layout
	if !layout.Decided() {
		return undecided()
	}
	number := layout.JobShard(args.Id)
	if args.Spec != nil && job.IsLongRunning(*args.Spec) {
		number = layout.LongRunningJobShard(args.Pool)
	}
	return r.route(ctx, submit, inCell(args, number))
}

// Show implements damsonwinch.Jobs.
func (r *Router) Show(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return r.find(ctx, show, args)
}

// Cancel implements damsonwinch.Jobs.
func (r *Router) Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply {
	return r.find(ctx, cancel, args)
}

// find calls the cell that has a job: that of its ID or, if its tasks last, the one of its
// pool for those.
func (r *Router) find(ctx context.Context, m method, args wire.JobArgs) wire.JobReply {
	layout := r.deps.Cells.View().Layout
	if !layout.Decided() {
		return undecided()
	}
	number, lasting := layout.JobShard(args.Id), layout.LongRunningJobShard(args.Pool)
	reply := r.route(ctx, m, inCell(args, number))
	if reply.Outcome == wire.JobOutcomeNoSuchJob && lasting != number {
		return r.route(ctx, m, inCell(args, lasting))
	}
	return reply
}

// Pending implements damsonwinch.Jobs. It is the sum over all cells of the pool; one that
// can't tell leaves the whole untold.
func (r *Router) Pending(ctx context.Context, args wire.JobArgs) wire.JobReply {
	layout := r.deps.Cells.View().Layout
	if !layout.Decided() {
		return undecided()
	}
	replies := make([]wire.JobReply, layout.Shards)
	var group errgroup.Group
	for number := range replies {
		group.Go(func() error {
			replies[number] = r.route(ctx, pending, inCell(args, number))
			return nil
		})
	}
	// The calls tell of their failures by their replies.
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

// inCell returns a call for one cell of its pool.
func inCell(args wire.JobArgs, number int) wire.JobArgs {
	args.Cell, args.Pool = shard.CellName(args.Pool, number), ""
	return args
}
