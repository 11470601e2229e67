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
	// orderRetryDelay is the time between two tries of an order.
	orderRetryDelay = 300 * time.Millisecond
	// joinTimeout is how long a box that the platform lists as up may take to be
	// usable in its pool.
	joinTimeout = 3 * time.Second
)

// box is a box as the planner knows it.
type box struct {
	info damsonwinch.Box
	// life is the life that runs on it, as far as the list of boxes and the owner of its cell
	// tell.
	life damsonwinch.Life
	// shard is the one to which its present life belongs, by placed, the newest order on it.
	shard     int
	placement *shard.Placement
	report    *wire.EndpointReport
	// planned is why it is being emptied.
	planned *plannedOrder
	// issued is the order that has been given and not seen done yet.
	issued *issuedOrder
	// inheritedAt is when an earlier holder last decided an order.
	inheritedAt time.Time
	// upSince is when it was first seen up as it is now.
	upSince time.Time
	// refusedPools are pools that take other boxes.
	refusedPools map[string]bool
}

// plannedOrder is why a box is being emptied.
type plannedOrder struct {
	// pool and shard are where it goes; an empty pool is for maintenance where it is.
	pool   string
	shard  int
	wave   int
	since  time.Time
	urgent bool
	cause  string
}

// issuedOrder is an order that has been recorded and issuedOrder.
type issuedOrder struct {
	Order
	updatedAt time.Time
	answered  bool
	// inherited says that an earlier holder recorded it.
	inherited bool
	inFlight  bool
	sentAt    time.Time
	// lifeEnded says that its box has been seen without the life that the order ends: another one may
	// come under the same ID.
	lifeEnded bool
}

// SetBoxes takes the platform's list, as it was at some moment after askedAt.
func (p *Planner) SetBoxes(askedAt time.Time, listed []damsonwinch.Box) {
	p.boxesRequestedAt = askedAt
	present := map[string]bool{}
	for _, info := range listed {
		present[info.Name] = true
		b := p.boxes[info.Name]
		if b == nil {
			b = p.addBox(info.Name)
		}
		if b.info.Endpoint != info.Endpoint || b.info.State != info.State || b.info.Pool != info.Pool {
			b.upSince = askedAt
		}
		if b.info.Endpoint != info.Endpoint || info.State != damsonwinch.BoxUp {
			b.dropPlannedOrder()
		}
		b.info = info
		if b.life.ID != info.Endpoint {
			b.life = damsonwinch.Life{ID: info.Endpoint}
		}
		if b.issued != nil && info.State != damsonwinch.BoxUp {
			b.issued.lifeEnded = true
		}
		p.updateShard(b)
		p.clearCompletedOrder(b, askedAt)
	}
	p.boxesByName = slices.DeleteFunc(p.boxesByName, func(b *box) bool {
		if present[b.info.Name] {
			return false
		}
		delete(p.boxes, b.info.Name)
		return true
	})
	slices.SortFunc(p.boxesByName, func(a, b *box) int { return cmp.Compare(a.info.Name, b.info.Name) })
	p.groupBoxesByCell()
}

// addBox makes a box known.
func (p *Planner) addBox(name string) *box {
	b := &box{info: damsonwinch.Box{Name: name}, refusedPools: map[string]bool{}}
	p.updateShard(b)
	p.boxes[name] = b
	p.boxesByName = append(p.boxesByName, b)
	return b
}

// updateShard notes the shard of a box's present life.
func (p *Planner) updateShard(b *box) {
	b.shard = p.layout.LifeShard(b.info.Name, b.info.Pool, b.life, b.placement)
}

// groupBoxesByCell sorts the boxes by their cells.
func (p *Planner) groupBoxesByCell() {
	p.boxesByCell = make(map[string][]*box, len(p.cellNames))
	for _, b := range p.boxesByName {
		p.boxesByCell[b.cell()] = append(p.boxesByCell[b.cell()], b)
	}
}

// cell returns the cell in which a box is.
func (b *box) cell() string {
	return shard.CellName(b.info.Pool, b.shard)
}

// dropPlannedOrder gives up the emptying of a box whose endpoint has ended.
func (b *box) dropPlannedOrder() {
	b.planned = nil
}

// clearCompletedOrder takes note of an order that the list shows as done.
func (p *Planner) clearCompletedOrder(b *box, askedAt time.Time) {
	g := b.issued
	if g == nil || askedAt.Before(g.updatedAt) || b.info.State != damsonwinch.BoxUp {
		return
	}
	left := g.lifeEnded || !b.life.MayBe(g.Life)
	if g.inherited && (left || b.info.Pool == g.Pool) {
		b.issued = nil
		return
	}
	if !g.answered {
		return
	}
	moved := g.Pool != "" && b.info.Pool == g.Pool
	maintained := g.Pool == "" && askedAt.Sub(g.updatedAt) >= p.options.MaintainTime && (left || b.info.Endpoint == "")
	if moved || maintained {
		b.issued = nil
	}
}

// isAvailable says whether the planner may decide something new about a box.
func (p *Planner) isAvailable(b *box) bool {
	return b.info.State == damsonwinch.BoxUp && b.issued == nil && b.planned == nil &&
		p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay
}

// startWithdrawal begins to empty a box.
func (p *Planner) startWithdrawal(b *box, why plannedOrder) {
	why.since = p.now
	p.updateBox(b, func() { b.planned = &why })
}

// issueOrder gives an order on a box in which nothing runs.
func (p *Planner) issueOrder(b *box, why plannedOrder) {
	order := Order{Box: b.info.Name, Pool: why.pool, Shard: why.shard, PreviousShard: b.shard, Wave: why.wave, Life: b.life, Cause: why.cause}
	p.updateBox(b, func() {
		b.issued = &issuedOrder{Order: order, updatedAt: p.now, inFlight: true, sentAt: p.now}
		b.placement = order.placement()
		b.planned = nil
	})
	wave := why.wave
	if w := p.waves[wave]; w != nil {
		w.ordered[b.info.Name] = true
	}
	p.orders = append(p.orders, order)
}

// issueDueOrders gives the orders whose boxes are empty, and repeats those that
// were not answered.
func (p *Planner) issueDueOrders() {
	for _, b := range p.boxesByName {
		switch {
		case b.planned != nil && b.report != nil && b.report.Withdrawn:
			p.issueOrder(b, *b.planned)
		case b.issued != nil && !b.issued.answered && !b.issued.inFlight && p.now.Sub(b.issued.sentAt) >= orderRetryDelay &&
			p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay:
			b.issued.inFlight, b.issued.sentAt = true, p.now
			p.orders = append(p.orders, b.issued.Order)
		}
	}
}

// HandleOrderResult takes the answer to an order.
func (p *Planner) HandleOrderResult(now time.Time, order Order, err error) {
	b := p.boxes[order.Box]
	if b == nil || b.issued == nil || b.issued.Order != order {
		return
	}
	g := b.issued
	g.inFlight = false
	switch {
	case err == nil:
		g.answered, g.updatedAt = true, now
	case errors.Is(err, damsonwinch.ErrInvalid):
		b.refusedPools[order.Pool] = true
		p.revertOrder(b, order)
	case errors.Is(err, damsonwinch.ErrNotInWave):
		// The wave has changed; what was noted of it stays so.
		b.issued = nil
	case errors.Is(err, damsonwinch.ErrBoxBusy):
		p.revertOrder(b, order)
	case errors.Is(err, damsonwinch.ErrRefused), errors.Is(err, damsonwinch.ErrOldToken):
		// Nothing was done; it is tried again.
	default:
		// It may have been done, or be done later. It is repeated until it is
		// answered: done twice is done once.
	}
}

// revertOrder forgets an order that had no effect.
func (p *Planner) revertOrder(b *box, order Order) {
	b.issued = nil
	if w := p.waves[order.Wave]; w != nil {
		delete(w.ordered, order.Box)
	}
}

// placement returns to which shard an order takes its box.
func (o Order) placement() *shard.Placement {
	return &shard.Placement{Pool: o.Pool, Life: o.Life, Shard: o.Shard, PreviousShard: o.PreviousShard}
}

// PlacementFromRecord returns to which shard a recorded order takes its box, nil if it tells none.
func PlacementFromRecord(record wire.OrderRecord) *shard.Placement {
	if record.Placement == nil {
		return nil
	}
	return &shard.Placement{Pool: record.Pool, Life: damsonwinch.ParseLife(record.Endpoint), Shard: record.Placement.Shard, PreviousShard: record.Placement.Before}
}

// LoadOrder takes over an order that an earlier holder recorded.
func (p *Planner) LoadOrder(record wire.OrderRecord) {
	b := p.boxes[record.Box]
	if b == nil {
		b = p.addBox(record.Box)
	}
	b.placement = PlacementFromRecord(record)
	p.updateShard(b)
	order := Order{Box: record.Box, Pool: record.Pool, Wave: record.Wave, Life: damsonwinch.ParseLife(record.Endpoint), Cause: record.Cause, Shard: b.shard, PreviousShard: b.shard}
	if b.placement != nil {
		order.Shard, order.PreviousShard = b.placement.Shard, b.placement.PreviousShard
	}
	b.inheritedAt = time.UnixMilli(int64(record.AtMs))
	// Whether it was carried out is not known; unless the list of boxes shows it, it
	// is repeated.
	b.issued = &issuedOrder{
		Order: order, updatedAt: b.inheritedAt, inherited: true,
	}
}
