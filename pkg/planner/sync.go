package planner

import (
	"context"

	"damsonwinch/pkg/wire"
)

// syncUnlessInFlight calls the owner of a cell, unless a call is on its way.
func (p *Planner) syncUnlessInFlight(cell string) {
	if !p.syncInFlight[cell] {
		p.syncInFlight[cell], p.syncedAt[cell] = true, p.deps.Clock.Now()
		p.sync(cell)
	}
}

// sync tells the owner of a cell what the planner wishes, and asks it how the cell is.
func (p *Planner) sync(cell string) {
	wishes := p.supply.Directives(cell)
	words := p.allotter.NextUpdate(cell)
	args := wire.SyncArgs{
		Cell: cell, Token: p.options.Token, Withdraw: wishes.Withdraw, Hurry: wishes.WithdrawUrgently, Restore: wishes.Restore, Gone: wishes.Exited, Due: wishes.DueForMaintenance,
		CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: words.Allowances,
	}
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		reply, err := p.deps.Sync(ctx, args)
		p.send(synced{cell: cell, reply: reply, err: err})
		return nil
	})
}
