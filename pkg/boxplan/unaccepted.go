package boxplan

import "damsonwinch"

// mayRepeat reports whether the issued order on a box is to be sent to the platform again.
func (p *Planner) mayRepeat(b *box) bool {
	o := b.issued
	return !o.accepted && !o.inFlight && p.now.Sub(o.sentAt) >= orderRetryDelay &&
		p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay && !p.mayBeInUse(b)
}

// mayBeInUse reports whether a life may run on a box that its cell's owner hasn't reported as withdrawn.
func (p *Planner) mayBeInUse(b *box) bool {
	runs := b.info.State == damsonwinch.BoxUp && b.info.EndpointID != "" && !p.isPoweredOff(b.info.Pool)
	return runs && (b.report == nil || !b.report.Withdrawn)
}

// dropOrdersOnUsedLives ends the orders that the platform hasn't accepted on lives that their cells use: the owner
// of a cell forgets that a life is withdrawn once the registry hasn't listed it for a while, and a recorded order
// may be from before the present life under the same ID.
func (p *Planner) dropOrdersOnUsedLives() {
	for _, b := range p.boxesByName {
		o := b.issued
		if o != nil && !o.accepted && !o.inFlight && b.info.State == damsonwinch.BoxUp && b.report != nil && b.report.Usable {
			p.revertOrder(b, o.Order)
		}
	}
}
