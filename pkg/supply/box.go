package supply

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Times of orders on boxes.
const (
	// orderRetry is the time between two tries of an order.
	orderRetry = 300 * time.Millisecond
	// arrival is how long a box that the platform lists as up may take to be
	// usable in its pool.
	arrival = 3 * time.Second
)

// box is a box as the planner knows it.
type box struct {
	info damsonwinch.Box
	// life is the life that runs on it, as far as the list of boxes and the owner of its cell
	// tell.
	life damsonwinch.Life
	// shard is the one to which its present life belongs, by placed, the newest order on it.
	shard  int
	placed *shard.Placement
	report *wire.EndpointReport
	// purpose is why it is being emptied.
	purpose *purpose
	// ordered is the order that has been given and not seen done yet.
	ordered *given
	// foreignAt is when an earlier holder last decided an order.
	foreignAt time.Time
	// upAt is when it was first seen up as it is now.
	upAt time.Time
	// refuses are pools that take other boxes.
	refuses map[string]bool
}

// purpose is why a box is being emptied.
type purpose struct {
	// pool and shard are where it goes; an empty pool is for maintenance where it is.
	pool  string
	shard int
	wave  int
	since time.Time
	hurry bool
	cause string
}

// given is an order that has been recorded and given.
type given struct {
	Order
	at       time.Time
	answered bool
	// recalled says that an earlier holder recorded it.
	recalled bool
	onTheWay bool
	triedAt  time.Time
	// left says that its box has been seen without the life that the order ends: another one may
	// come under the same ID.
	left bool
}

// SetBoxes takes the platform's list, as it was at some moment after askedAt.
func (p *Planner) SetBoxes(askedAt time.Time, listed []damsonwinch.Box) {
	p.boxesAt = askedAt
	present := map[string]bool{}
	for _, info := range listed {
		present[info.Name] = true
		b := p.boxes[info.Name]
		if b == nil {
			b = p.addBox(info.Name)
		}
		if b.info.EndpointID != info.EndpointID || b.info.State != info.State || b.info.Pool != info.Pool {
			b.upAt = askedAt
		}
		if b.info.EndpointID != info.EndpointID || info.State != damsonwinch.BoxUp {
			b.dropPurpose()
		}
		b.info = info
		if b.life.ID != info.EndpointID {
			b.life = damsonwinch.Life{ID: info.EndpointID}
		}
		if b.ordered != nil && info.State != damsonwinch.BoxUp {
			b.ordered.left = true
		}
		p.place(b)
		p.settle(b, askedAt)
	}
	p.order = slices.DeleteFunc(p.order, func(b *box) bool {
		if present[b.info.Name] {
			return false
		}
		delete(p.boxes, b.info.Name)
		return true
	})
	slices.SortFunc(p.order, func(a, b *box) int { return cmp.Compare(a.info.Name, b.info.Name) })
	p.groupBoxes()
}

// addBox makes a box known.
func (p *Planner) addBox(name string) *box {
	b := &box{info: damsonwinch.Box{Name: name}, refuses: map[string]bool{}}
	p.place(b)
	p.boxes[name] = b
	p.order = append(p.order, b)
	return b
}

// place notes the shard of a box's present life.
func (p *Planner) place(b *box) {
	b.shard = p.layout.LifeShard(b.info.Name, b.info.Pool, b.life, b.placed)
}

// groupBoxes sorts the boxes by their cells.
func (p *Planner) groupBoxes() {
	p.byCell = make(map[string][]*box, len(p.names))
	for _, b := range p.order {
		p.byCell[b.cell()] = append(p.byCell[b.cell()], b)
	}
}

// cell returns the cell in which a box is.
func (b *box) cell() string {
	return shard.CellName(b.info.Pool, b.shard)
}

// dropPurpose gives up the emptying of a box whose endpoint has ended.
func (b *box) dropPurpose() {
	b.purpose = nil
}

// settle takes note of an order that the list shows as done.
func (p *Planner) settle(b *box, askedAt time.Time) {
	g := b.ordered
	if g == nil || askedAt.Before(g.at) || b.info.State != damsonwinch.BoxUp {
		return
	}
	left := g.left || !b.life.MayBeSame(g.Endpoint)
	if g.recalled && (left || b.info.Pool == g.Pool) {
		b.ordered = nil
		return
	}
	if !g.answered {
		return
	}
	moved := g.Pool != "" && b.info.Pool == g.Pool
	maintained := g.Pool == "" && askedAt.Sub(g.at) >= p.options.MaintainTime && (left || b.info.EndpointID == "")
	if moved || maintained {
		b.ordered = nil
	}
}

// free says whether the planner may decide something new about a box.
func (p *Planner) free(b *box) bool {
	return b.info.State == damsonwinch.BoxUp && b.ordered == nil && b.purpose == nil &&
		p.now.Sub(b.foreignAt) >= p.options.TakeoverDelay
}

// take begins to empty a box.
func (p *Planner) take(b *box, why purpose) {
	why.since = p.now
	p.change(b, func() { b.purpose = &why })
}

// orderNow gives an order on a box in which nothing runs.
func (p *Planner) orderNow(b *box, why purpose) {
	order := Order{Box: b.info.Name, Pool: why.pool, Shard: why.shard, Before: b.shard, Wave: why.wave, Endpoint: b.life, Cause: why.cause}
	p.change(b, func() {
		b.ordered = &given{Order: order, at: p.now, onTheWay: true, triedAt: p.now}
		b.placed = order.placement()
		b.purpose = nil
	})
	wave := why.wave
	if w := p.waves[wave]; w != nil {
		w.done[b.info.Name] = true
	}
	p.orders = append(p.orders, order)
}

// orderWithdrawn gives the orders whose boxes are empty, and repeats those that
// were not answered.
func (p *Planner) orderWithdrawn() {
	for _, b := range p.order {
		switch {
		case b.purpose != nil && b.report != nil && b.report.Withdrawn:
			p.orderNow(b, *b.purpose)
		case b.ordered != nil && !b.ordered.answered && !b.ordered.onTheWay && p.now.Sub(b.ordered.triedAt) >= orderRetry &&
			p.now.Sub(b.foreignAt) >= p.options.TakeoverDelay:
			b.ordered.onTheWay, b.ordered.triedAt = true, p.now
			p.orders = append(p.orders, b.ordered.Order)
		}
	}
}

// Ordered takes the answer to an order.
func (p *Planner) Ordered(now time.Time, order Order, err error) {
	b := p.boxes[order.Box]
	if b == nil || b.ordered == nil || b.ordered.Order != order {
		return
	}
	g := b.ordered
	g.onTheWay = false
	switch {
	case err == nil:
		g.answered, g.at = true, now
	case errors.Is(err, damsonwinch.ErrInvalid):
		b.refuses[order.Pool] = true
		p.takeBack(b, order)
	case errors.Is(err, damsonwinch.ErrNotInWave):
		// The wave has changed; what was noted of it stays so.
		b.ordered = nil
	case errors.Is(err, damsonwinch.ErrBoxNotUp):
		p.takeBack(b, order)
	case errors.Is(err, damsonwinch.ErrRefused), errors.Is(err, damsonwinch.ErrStaleToken):
		// Nothing was done; it is tried again.
	default:
		// It may have been done, or be done later. It is repeated until it is
		// answered: done twice is done once.
	}
}

// takeBack forgets an order that had no effect.
func (p *Planner) takeBack(b *box, order Order) {
	b.ordered = nil
	if w := p.waves[order.Wave]; w != nil {
		delete(w.done, order.Box)
	}
}

// placement returns to which shard an order takes its box.
func (o Order) placement() *shard.Placement {
	return &shard.Placement{Pool: o.Pool, Life: o.Endpoint, Shard: o.Shard, PreviousShard: o.Before}
}

// PlacementOf returns to which shard a recorded order takes its box, nil if it tells none.
func PlacementOf(record wire.OrderRecord) *shard.Placement {
	if record.Placement == nil {
		return nil
	}
	return &shard.Placement{Pool: record.Pool, Life: damsonwinch.ParseLife(record.Endpoint), Shard: record.Placement.Shard, PreviousShard: record.Placement.Before}
}

// Recall takes over an order that an earlier holder recorded.
func (p *Planner) Recall(record wire.OrderRecord) {
	b := p.boxes[record.Box]
	if b == nil {
		b = p.addBox(record.Box)
	}
	b.placed = PlacementOf(record)
	p.place(b)
	order := Order{Box: record.Box, Pool: record.Pool, Wave: record.Wave, Endpoint: damsonwinch.ParseLife(record.Endpoint), Cause: record.Cause, Shard: b.shard, Before: b.shard}
	if b.placed != nil {
		order.Shard, order.Before = b.placed.Shard, b.placed.PreviousShard
	}
	b.foreignAt = time.UnixMilli(int64(record.AtMs))
	// Whether it was carried out is not known; unless the list of boxes shows it, it
	// is repeated.
	b.ordered = &given{
		Order: order, at: b.foreignAt, recalled: true,
	}
}
