package boxplan

import "time"

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
		if b.info.EndpointID == "" || b.issued != nil && b.issued.Wave != 0 {
			continue
		}
		if _, revocable := p.revocableMove(b); revocable {
			p.takeBack(b)
		}
	}
}

// isHeldInOutage reports whether the issued order on a box is not to be repeated because control of boxes is away: the
// order may be carried out late, and its endpoint can be used again once that is no longer possible.
func (p *Planner) isHeldInOutage(b *box) bool {
	return b.issued.outcomeUnknown && b.issued.Wave == 0 && b.info.EndpointID != "" && p.controlIsAway()
}
