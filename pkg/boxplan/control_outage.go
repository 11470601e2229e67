package boxplan

import (
	"time"

	"damsonwinch"
)

// outageDelay is how long there must have been no list of boxes and no accepted order, while an order has failed, for
// control of boxes to count as away. Lists are requested every 0.4 s and an unanswered call takes 0.8 s. While lists are
// only slow, the platform still accepts some orders.
const outageDelay = time.Second

// controlIsAway reports whether control of boxes, which lists boxes and takes orders, seems to be away. It ends with a
// list that was requested after the newest failure of an order, or with an order that is accepted.
func (p *Planner) controlIsAway() bool {
	return p.orderFailedAt.After(p.boxesRequestedAt) && p.now.Sub(p.boxesRequestedAt) >= outageDelay && p.now.Sub(p.orderAcceptedAt) >= outageDelay
}

// takeBackMovesInOutage gives up the moves of boxes that control of boxes doesn't carry out while it is away. Their
// endpoints can be used meanwhile; when control is back, the moves that are still needed are decided anew.
func (p *Planner) takeBackMovesInOutage() {
	if !p.controlIsAway() {
		return
	}
	for _, b := range p.boxesByName {
		if b.info.EndpointID == "" {
			continue
		}
		if _, revocable := p.revocableMove(b); revocable || p.hasLapsed(b) {
			p.takeBack(b)
		}
	}
}

// hasLapsed reports whether the issued order on a box is a move that this planner has sent without an answer and that
// can't be carried out any more.
func (p *Planner) hasLapsed(b *box) bool {
	o := b.issued
	if o == nil || !o.outcomeUnknown || o.accepted || o.inFlight || o.inherited || o.Wave != 0 || p.isEvacuated(b) {
		return false
	}
	return b.info.State == damsonwinch.BoxUp && p.now.Sub(o.unansweredAt) > maxOrderDelay
}

// isHeldInOutage reports whether the issued order on a box is not to be repeated because control of boxes is away: the
// order may be carried out late, and its endpoint can be used again once that is no longer possible.
func (p *Planner) isHeldInOutage(b *box) bool {
	return b.issued.outcomeUnknown && !b.issued.inherited && b.issued.Wave == 0 && b.info.EndpointID != "" && p.controlIsAway()
}
