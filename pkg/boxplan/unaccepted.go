package boxplan

import (
	"time"

	"damsonwinch"
)

// mayRepeat reports whether the issued order on a box is to be sent to the platform again. On a box that isn't up it may
// meet a later life before a list shows that; one of an earlier planner is repeated, since the box may be down because of it.
func (p *Planner) mayRepeat(b *box) bool {
	o := b.issued
	return !o.accepted && !o.inFlight && p.now.Sub(o.sentAt) >= orderRetryDelay && (b.info.State == damsonwinch.BoxUp || o.inherited) &&
		p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay && !p.mayBeInUse(b) && !p.isHeldInOutage(b)
}

// mayBeInUse reports whether a life may run on a box that its cell's owner hasn't reported as withdrawn.
func (p *Planner) mayBeInUse(b *box) bool {
	runs := b.info.State == damsonwinch.BoxUp && b.info.EndpointID != "" && !p.isPoweredOff(b.info.Pool)
	return runs && (b.report == nil || !b.report.Withdrawn)
}

// maxOrderDelay is how long after an unanswered call with an order the platform may still carry it out.
const maxOrderDelay = 15 * time.Second

// dropObsoleteOrders ends the orders that must not be repeated: those of an earlier planner on later lives than theirs,
// and those on lives that may be in use and have had no effect. The owner of a cell forgets that a life is withdrawn once
// the registry hasn't listed it for a while, and an earlier planner may have taken back what it had recorded.
func (p *Planner) dropObsoleteOrders() {
	for _, b := range p.boxesByName {
		o := b.issued
		if o == nil || o.accepted || o.inFlight {
			continue
		}
		if o.inherited && !b.life.MayBeSame(o.Life) {
			b.issued = nil
		} else if p.mayBeInUse(b) && p.hadNoEffect(b) {
			p.revertOrder(b, o.Order)
		}
	}
}

// hadNoEffect reports whether the issued order on a box that is up can be given up: the platform has refused it, it is a
// move that an earlier planner has recorded, or it can't be carried out late any more. Maintenance that may yet begin
// counts in its wave.
func (p *Planner) hadNoEffect(b *box) bool {
	o := b.issued
	if o.isRefused() {
		return true
	}
	sinceCall := min(p.now.Sub(o.sentAt), p.now.Sub(b.inheritedAt))
	return b.report != nil && (o.inherited && o.Wave == 0 || sinceCall > maxOrderDelay)
}

// needsWithdrawalAnew reports whether an unanswered order on a box can't be repeated because its cell uses the life
// for which it was issued.
func (p *Planner) needsWithdrawalAnew(b *box) bool {
	o := b.issued
	return o != nil && !o.accepted && !o.isRefused() && b.report != nil && !b.report.Withdrawn && b.life.MayBeSame(o.Life)
}

// isRefused reports whether the platform has refused each call with the order, so that the order has had no effect
// and can be taken back.
func (o *issuedOrder) isRefused() bool {
	return !o.accepted && !o.inFlight && !o.outcomeUnknown && !o.inherited
}

// revocableMove returns the pool to which a box is to be moved if that can still be taken back, and whether it can.
// The record of a refused order remains; a later planner doesn't repeat it while the life is in use.
func (p *Planner) revocableMove(b *box) (pool string, revocable bool) {
	switch {
	case b.info.State != damsonwinch.BoxUp || p.isEvacuated(b):
		return "", false
	case b.planned != nil:
		return b.planned.pool, b.planned.wave == 0
	case b.issued != nil:
		return b.issued.Pool, b.issued.Wave == 0 && b.issued.isRefused()
	}
	return "", false
}

// isBeingPoweredOff reports whether a box is up and is to be powered off, which can be taken back. In an evacuated
// zone such a box is of no use to another cell.
func (p *Planner) isBeingPoweredOff(b *box) bool {
	pool, revocable := p.revocableMove(b)
	return revocable && p.isPoweredOff(pool)
}

// keepBox keeps one box of a cell that was to be moved away, and reports whether there was one: a box that was to be
// powered off, one whose order has been refused and that another cell can spare or, for its long-running tasks, one that
// another cell doesn't need for its own. Such a box is in use at once, any other one only after a move.
func (p *Planner) keepBox(cellName string, forLongRunning bool) bool {
	for _, b := range p.boxesByCell[cellName] {
		if _, revocable := p.revocableMove(b); !revocable || b.report == nil || b.report.Silent {
			continue
		}
		if p.isBeingPoweredOff(b) || forLongRunning && p.canForgo(p.servedCell(b)) || b.issued != nil && p.canSpare(p.servedCell(b)) {
			p.takeBack(b)
			return true
		}
	}
	return false
}

// takeBack gives up the decision to move a box.
func (p *Planner) takeBack(b *box) {
	p.updateBox(b, func() { b.planned, b.issued, b.keptAt = nil, nil, p.now })
	b.restoredAt = p.now
}

// keepBoxesForLongRunning has each cell that lacks boxes for its long-running tasks keep boxes of its own that were to be
// moved away, also in place of boxes that the platform doesn't let it have yet: there may be more orders than the
// platform takes. It takes no order to keep a box.
func (p *Planner) keepBoxesForLongRunning() {
	delayed := p.delayedMoves()
	for _, name := range p.cellNames {
		c := p.cells[name]
		moves := delayed[name]
		for !c.poweredOff && p.longRunningShortage(c)+len(moves) > 0 && p.keepBox(name, true) {
			if len(moves) > 0 {
				p.takeBack(moves[0])
				moves = moves[1:]
			}
		}
	}
}

// delayedMoves returns, by the cell to which they are to be moved, the boxes whose orders the platform has refused.
func (p *Planner) delayedMoves() map[string][]*box {
	delayed := map[string][]*box{}
	for _, b := range p.boxesByName {
		if o := b.issued; o != nil && o.Pool != "" && o.isRefused() && b.info.State == damsonwinch.BoxUp {
			name := p.servedCell(b)
			delayed[name] = append(delayed[name], b)
		}
	}
	return delayed
}

// canForgo reports whether a cell has enough boxes for its long-running tasks without one of those on their way to it.
func (p *Planner) canForgo(cellName string) bool {
	c := p.cells[cellName]
	return c == nil || p.longRunningShortage(c) < 0
}

// canSpare reports whether a cell has enough boxes for its work without one of those on their way to it.
func (p *Planner) canSpare(cellName string) bool {
	c := p.cells[cellName]
	return c == nil || p.boxCount(cellName) > c.required
}
