package planner

import (
	"context"
	"time"

	"damsonwinch/pkg/wire"
)

// listGrace is how long a planner that has taken over waits for its first list of boxes before it gives boxes back.
const listGrace = time.Second

// syncUnlessInFlight calls the owner of a cell, unless a call to it is in progress.
func (p *Planner) syncUnlessInFlight(cell string) {
	if !p.syncInFlight[cell] {
		p.syncInFlight[cell], p.syncedAt[cell] = true, p.deps.Clock.Now()
		p.sync(cell)
	}
}

// sync calls the owner of a cell with the directives for its endpoints and the allowances that it hasn't
// confirmed. The reply is a report on the cell.
func (p *Planner) sync(cell string) {
	directives := p.boxPlan.Directives(cell)
	if !p.boxListReceived && p.deps.Clock.Since(p.takenOverAt) < listGrace {
		// The planner goes on with most of what an earlier one has had withdrawn.
		directives.Restore = nil
	}
	update := p.allocator.NextUpdate(cell)
	args := wire.SyncArgs{
		Cell: cell, Token: p.options.Token, Withdraw: directives.Withdraw, Hurry: directives.WithdrawUrgently, Restore: directives.Restore, Gone: directives.Exited, Due: directives.DueForMaintenance,
		BoxesAfterToken: directives.BoxesAfter.Token, BoxesAfterReport: directives.BoxesAfter.Number,
		CellToken: update.OwnerToken, AllowanceNumber: update.Number, ConfigVersion: update.ConfigVersion, Allowances: update.Allowances,
	}
	if p.arrivals.InEffect() {
		args.Cells, args.Arrivals = len(p.cellNames()), p.arrivals.Elsewhere(p.deps.Clock.Now(), cell)
	}
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		reply, err := p.deps.Sync(ctx, args)
		p.send(synced{cell: cell, reply: reply, err: err})
		return nil
	})
}
