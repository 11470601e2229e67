package boxplan

import "time"

// At most the unused orders of orderBurst are kept, and as many as minOrderBurst where the platform takes that
// many in a second: a small pool gets all of its boxes at once.
const (
	orderBurst    = 250 * time.Millisecond
	minOrderBurst = 64 // Orders.
)

// orderPace limits the orders that Plan returns to the rate at which the platform takes them. The
// platform refuses the rest, whichever they are: the neediest cells would get no more boxes than others.
type orderPace struct {
	perSecond int // 0 for no limit.
	// allowance is the number of orders that may be issued, as of updatedAt.
	allowance float64
	updatedAt time.Time
}

// advance adds the orders that may be issued since the last call.
func (p *orderPace) advance(now time.Time) {
	perSecond := float64(p.perSecond)
	most := max(perSecond*orderBurst.Seconds(), min(perSecond, minOrderBurst))
	if p.updatedAt.IsZero() {
		p.allowance = most
	}
	p.allowance = min(most, p.allowance+perSecond*now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
}

// available reports whether an order may be issued now.
func (p *orderPace) available() bool {
	return p.perSecond == 0 || p.allowance >= 1
}

// use counts an order that is issued.
func (p *orderPace) use() {
	p.allowance--
}
