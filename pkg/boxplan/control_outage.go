package boxplan

import (
	"errors"
	"time"

	"damsonwinch"
)

// outageDelay is how long there must have been no list of boxes and no accepted order, while an order has failed, for
// control of boxes to count as away. Lists are requested every 0.4 s and an unanswered call takes 0.8 s. While lists are
// only slow, the platform still accepts some orders.
const outageDelay = time.Second

// noteList notes when a list of boxes has arrived and how long it took.
func (p *Planner) noteList() {
	if p.boxesRequestedAt.Equal(p.notedList) {
		return
	}
	p.notedList, p.listedAt = p.boxesRequestedAt, p.now
}

// noteAnswer notes the answer to an order, received at now, or the error with which the call failed. A refusal of what the
// order asks for is an answer of a control of boxes that works.
func (p *Planner) noteAnswer(now time.Time, err error) {
	switch {
	case err == nil:
		p.orderAcceptedAt, p.orderFailedAt = now, time.Time{}
	case errors.Is(err, damsonwinch.ErrBoxNotUp), errors.Is(err, damsonwinch.ErrInvalid), errors.Is(err, damsonwinch.ErrNotInWave):
		p.orderFailedAt = time.Time{}
	default:
		p.orderFailedAt = now
	}
}

// controlIsAway reports whether control of boxes, which lists boxes and takes orders, seems to be away. It ends with a
// list that was requested after the newest failure of an order, or with an order that is accepted. Where lists take
// longer, twice that time must pass without one.
func (p *Planner) controlIsAway() bool {
	delay := max(outageDelay, 2*p.listedAt.Sub(p.notedList))
	return p.orderFailedAt.After(p.boxesRequestedAt) && p.now.Sub(p.listedAt) >= delay && p.now.Sub(p.orderAcceptedAt) >= outageDelay
}

// takeBackMovesInOutage gives up what control of boxes doesn't carry out while it is away: moves, and withdrawals for
// maintenance. The endpoints can be used meanwhile; when control is back, what is still needed is decided anew.
func (p *Planner) takeBackMovesInOutage() {
	if !p.controlIsAway() {
		return
	}
	for _, b := range p.boxesByName {
		if b.info.EndpointID == "" || b.issued != nil && b.issued.Wave != 0 {
			continue
		}
		if _, revocable := p.revocableMove(b); revocable || b.planned != nil && b.planned.wave != 0 {
			p.takeBack(b)
		}
	}
}

// isHeldInOutage reports whether the issued order on a box is not to be repeated because control of boxes is away: the
// order may be carried out late, and its endpoint can be used again once that is no longer possible.
func (p *Planner) isHeldInOutage(b *box) bool {
	return b.issued.outcomeUnknown && b.issued.Wave == 0 && b.info.EndpointID != "" && p.controlIsAway()
}
