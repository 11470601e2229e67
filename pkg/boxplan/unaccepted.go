package boxplan

import (
	"slices"
	"time"

	"damsonwinch"
)

// mayRepeat reports whether the issued order on a box is to be sent to the platform again. On a box that isn't up it may
// meet a later life before a list shows that; one of an earlier planner is repeated, since the box may be down because of it.
func (p *Planner) mayRepeat(b *box) bool {
	o := b.issued
	return !o.accepted && !o.inFlight && p.now.Sub(o.sentAt) >= orderRetryDelay && (b.info.State == damsonwinch.BoxUp || o.inherited) &&
		p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay && !p.mayBeInUse(b) && !p.isHeldInOutage(b) && !p.isOutdated(b)
}

// mayBeInUse reports whether a life may run on a box that its cell's owner hasn't reported as withdrawn.
func (p *Planner) mayBeInUse(b *box) bool {
	runs := b.info.State == damsonwinch.BoxUp && b.info.EndpointID != "" && !p.isPoweredOff(b.info.Pool)
	return runs && (b.report == nil || !b.report.Withdrawn)
}

// maxOrderDelay is how long after an unanswered call with an order the platform may still carry it out.
const maxOrderDelay = 15 * time.Second

// outdatedAge is the age from which a recorded order of an earlier planner that isn't known to be accepted is not repeated. Each
// call with it was recorded, with its time, before it was sent. Twice maxOrderDelay leaves as long again for appends and for
// differences between the clocks of nodes. An append may take longer, so the earlier planner's last call, sent before this one
// took over, may still be carried out for maxOrderDelay after that.
const outdatedAge = 2 * maxOrderDelay

// dropObsoleteOrders ends the orders that must not be repeated: those of an earlier planner that are outdated, on later
// lives than theirs or on powered-off boxes, for which the present need decides, and those on lives that may be in use and
// have had no effect.
// The owner of a cell forgets that a life is withdrawn once the registry hasn't listed it for a while, and an earlier
// planner may have taken back what it had recorded.
func (p *Planner) dropObsoleteOrders() {
	for _, b := range p.boxesByName {
		o := b.issued
		if o == nil || o.accepted || o.inFlight {
			continue
		}
		if o.inherited && o.unansweredAt.IsZero() {
			o.unansweredAt = p.now
		}
		switch {
		case o.inherited && p.isOnLaterLife(b):
			p.settleInheritedOrder(b)
		case o.inherited && p.mayStayPoweredOff(b):
			b.issued = nil
		case p.mayBeInUse(b) && p.hadNoEffect(b), p.isOutdated(b) && p.now.Sub(o.unansweredAt) > maxOrderDelay:
			p.revertOrder(b, o.Order)
		}
	}
}

// settleUnacceptedOrder ends an issued order that the platform hasn't accepted, on a box that is up with a
// later life than the one that the order was to end. That life may have tasks, so the order must not be
// repeated. Whether the order has been carried out, or the earlier life has exited by itself, shows only
// for moves; a box whose maintenance is uncertain is due again.
func (p *Planner) settleUnacceptedOrder(b *box) {
	if b.issued.Pool != "" && b.info.Pool == b.issued.Pool {
		b.issued = nil
		return
	}
	p.revertOrder(b, b.issued.Order)
}

// settleInheritedOrder ends an order of an earlier planner on a box whose life at that time is over. If the platform isn't
// known to have accepted its maintenance, and no maintenance was seen, the box may have restarted by itself and is due
// again. The platform accepts an order for a box that it has maintained in the wave before, and does nothing.
func (p *Planner) settleInheritedOrder(b *box) {
	if o := b.issued; o.Pool == "" && !o.accepted && !o.maintenanceSeen {
		p.revertOrder(b, o.Order)
		return
	}
	b.issued = nil
}

// isOnLaterLife reports whether the life for which the order on a box was issued is over. A box that is being moved or
// maintained has no life, perhaps because of this order.
func (p *Planner) isOnLaterLife(b *box) bool {
	isOnItsWay := b.info.State == damsonwinch.BoxMoving || b.info.State == damsonwinch.BoxMaintenance
	return !isOnItsWay && !b.life.MayBeSame(b.issued.Life)
}

// mayStayPoweredOff reports whether a recorded move of a powered-off box hasn't been carried out in the time in which
// an accepted one is.
func (p *Planner) mayStayPoweredOff(b *box) bool {
	return b.issued.Wave == 0 && b.info.State == damsonwinch.BoxUp && p.isPoweredOff(b.info.Pool) && p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay
}

// isOutdated reports whether the earlier planner is taken to have given up a recorded order on a box that is up, without a
// record of that: the order is old. The life may have been withdrawn for another reason since.
func (p *Planner) isOutdated(b *box) bool {
	o := b.issued
	return o.inherited && o.sentAt.IsZero() && b.info.State == damsonwinch.BoxUp && p.now.Sub(b.inheritedAt) > outdatedAge
}

// hadNoEffect reports whether the issued order on a box that is up can be given up: the platform has refused it, or the
// owner has reported the life and it is a recorded move or can't be carried out late any more. An earlier planner, too,
// has repeated an order only on a withdrawn life. Maintenance that may yet begin counts in its wave.
func (p *Planner) hadNoEffect(b *box) bool {
	o := b.issued
	sinceCall := min(p.now.Sub(o.sentAt), p.now.Sub(b.inheritedAt))
	return o.isRefused(p.now) || b.report != nil && (o.inherited && o.Wave == 0 || sinceCall > maxOrderDelay)
}

// needsWithdrawalAnew reports whether an unanswered order on a box can't be repeated because its cell uses the life
// for which it was issued.
func (p *Planner) needsWithdrawalAnew(b *box) bool {
	o := b.issued
	return o != nil && !o.accepted && !o.isRefused(p.now) && b.report != nil && !b.report.Withdrawn && b.life.MayBeSame(o.Life)
}

// isRefused reports whether the order has had no effect and can be taken back: the platform has refused each call with
// it but for those that are too old to be carried out.
func (o *issuedOrder) isRefused(now time.Time) bool {
	mayComeLate := o.outcomeUnknown && now.Sub(o.unansweredAt) <= maxOrderDelay
	return !o.accepted && !o.inFlight && !mayComeLate
}

// isDoubtful reports whether an unaccepted move of a box can't be repeated because the owner of the box's cell doesn't
// report, and has had no effect for so long that the box isn't counted on where it is to go.
func (p *Planner) isDoubtful(b *box) bool {
	o := b.issued
	return o.Pool != "" && !o.accepted && !o.inFlight && b.report == nil && p.mayBeInUse(b) && p.now.Sub(o.unansweredAt) >= joinTimeout
}

// isUnreachable reports whether the owner of a box's cell hasn't reported for so long that a planned order on the box
// isn't counted on: it is issued only once the owner has withdrawn the endpoint.
func (p *Planner) isUnreachable(b *box) bool {
	c := p.cells[b.cellName()]
	return b.report == nil && c != nil && p.now.Sub(c.reportedAt) >= reportLifetime+joinTimeout
}

// revocableMove returns the pool to which a box is to be moved, empty for its maintenance, if that can still be taken
// back, and whether it can. The record of a refused order remains; a later planner doesn't repeat it while the life is
// in use.
func (p *Planner) revocableMove(b *box) (pool string, revocable bool) {
	switch {
	case b.info.State != damsonwinch.BoxUp || p.isEvacuated(b):
		return "", false
	case b.planned != nil:
		return b.planned.pool, b.planned.wave == 0
	case b.issued != nil:
		return b.issued.Pool, b.issued.isRefused(p.now) && (b.issued.Wave == 0 || p.isRefusedForLong(b.issued))
	}
	return "", false
}

// isRefusedForLong reports whether the platform has refused an order for longer than a passing lack of pace lasts.
func (p *Planner) isRefusedForLong(o *issuedOrder) bool {
	return o.isRefused(p.now) && p.now.Sub(o.updatedAt) >= longRunningWait
}

// isBeingPoweredOff reports whether a box is up and is to be powered off, which can be taken back. In an evacuated
// zone such a box is of no use to another cell.
func (p *Planner) isBeingPoweredOff(b *box) bool {
	pool, revocable := p.revocableMove(b)
	return revocable && p.isPoweredOff(pool)
}

// keepBox keeps one box of a cell that was to be moved away, and returns it, or nil if there was none. Such a box is in use
// at once, any other one only after a move.
func (p *Planner) keepBox(cellName string, forLongRunning bool) *box {
	for _, b := range p.boxesByCell[cellName] {
		if _, revocable := p.revocableMove(b); !revocable || b.report == nil || b.report.Silent {
			continue
		}
		if p.mayKeep(b, cellName, forLongRunning) {
			p.takeBack(b)
			return b
		}
	}
	return nil
}

// mayKeep reports whether a cell may keep one of its boxes in place of what is decided for it: a box that is to be powered
// off, one whose order has been refused and that another cell can spare or, for the cell's long-running tasks, one that
// another cell doesn't need for its own or whose maintenance has been refused.
func (p *Planner) mayKeep(b *box, cellName string, forLongRunning bool) bool {
	served := p.servedCell(b)
	switch {
	case p.isBeingPoweredOff(b):
		return true
	case served == cellName:
		return forLongRunning
	case forLongRunning && p.canForgo(served):
		return true
	}
	return b.issued != nil && p.canSpare(served)
}

// takeBack gives up the decision to move or maintain a box.
func (p *Planner) takeBack(b *box) {
	p.updateBox(b, func() {
		if b.issued != nil {
			if b.issued.Wave != 0 {
				b.maintenanceRefusedAt = p.now
			}
			p.revertOrder(b, b.issued.Order)
		}
		b.planned, b.keptAt = nil, p.now
	})
	b.restoredAt = p.now
}

// wasKept reports whether a decision on a box was taken back so recently that its cell may not use it again yet.
func (p *Planner) wasKept(b *box) bool {
	return p.now.Sub(b.keptAt) < joinTimeout
}

// maintenanceRetryDelay is how long a box whose maintenance was refused stays in use while the platform accepts no order
// at all: each new try empties the box.
const maintenanceRetryDelay = 10 * time.Second

// mayWithdrawAgain reports whether a box that was given back may be withdrawn for a wave.
func (p *Planner) mayWithdrawAgain(b *box) bool {
	isRefusing := p.now.Sub(b.maintenanceRefusedAt) < maintenanceRetryDelay && !p.orderAcceptedAt.After(b.maintenanceRefusedAt)
	return !p.wasKept(b) && !isRefusing
}

// keepBoxesForLongRunning has each cell that lacks boxes for its long-running tasks keep boxes of its own that were to be
// moved away, also in place of boxes that the platform doesn't let it have yet: there may be more orders than the
// platform takes, and it may answer none. It takes no order to keep a box.
func (p *Planner) keepBoxesForLongRunning() {
	delayed := p.delayedBoxes()
	for _, name := range p.cellNames {
		c := p.cells[name]
		// Another cell may have kept some of them by now.
		boxes := slices.DeleteFunc(delayed[name], func(b *box) bool { return b.issued == nil })
		for !c.poweredOff && p.longRunningShortage(c)+len(boxes) > 0 {
			kept := p.keepBox(name, true)
			if kept == nil {
				break
			}
			boxes = p.withoutOneDelayed(boxes, kept)
		}
	}
}

// withoutOneDelayed returns the delayed boxes of a cell without one that the kept box replaces: the kept box itself, or
// one whose order is taken back. An order that may be carried out late stays.
func (p *Planner) withoutOneDelayed(boxes []*box, kept *box) []*box {
	place := slices.Index(boxes, kept)
	if place >= 0 {
		return slices.Delete(boxes, place, place+1)
	}
	place = slices.IndexFunc(boxes, func(b *box) bool { return b.issued.isRefused(p.now) })
	if place < 0 {
		return boxes
	}
	p.takeBack(boxes[place])
	return slices.Delete(boxes, place, place+1)
}

// delayedBoxes returns, by the cell that they are to serve, the boxes with moves that the platform refuses or has left
// unanswered for orderEffectDelay, and those whose maintenance it has refused for long.
func (p *Planner) delayedBoxes() map[string][]*box {
	delayed := map[string][]*box{}
	for _, b := range p.boxesByName {
		o := b.issued
		if o == nil || o.accepted || b.info.State != damsonwinch.BoxUp {
			continue
		}
		isDelayed := o.isRefused(p.now) || p.now.Sub(o.updatedAt) >= orderEffectDelay
		if o.Pool != "" && isDelayed || p.isRefusedForLong(o) {
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
