package boxplan

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

const (
	// orderRetryDelay is the minimum time between two calls to the platform with the same order.
	orderRetryDelay = 300 * time.Millisecond
	// joinTimeout is how long a box that the platform lists as up, or that was to be moved and is kept, may
	// take until it is usable in its pool.
	joinTimeout = 3 * time.Second
	// orderEffectDelay is how much longer than usual the platform may take to carry out an order that it has
	// accepted. A box that then is up with the same life had been maintained before.
	orderEffectDelay = time.Second
)

// box is what the planner knows of a box.
type box struct {
	// info is the box as the platform's newest list shows it.
	info damsonwinch.Box
	// life is the endpoint's life on the box. Its ID comes from the list of boxes, its start time
	// from the owner of the cell.
	life damsonwinch.Life
	// shard is the shard of the present life. It follows from placement, the placement by the newest
	// order on the box, which is nil before the first order.
	shard     int
	placement *shard.Placement
	// report is the part of the cell's fresh report that is on the endpoint; nil if there is none.
	report *wire.EndpointReport
	// planned is the order for which the endpoint is being withdrawn; nil for none.
	planned *plannedOrder
	// issued is the issued order whose effect has not been seen yet; nil for none.
	issued *issuedOrder
	// inheritedAt is when an earlier planner recorded its newest order on the box; zero if none did.
	inheritedAt time.Time
	// upSince is the request time of the first list that shows the box with its present state,
	// pool and endpoint.
	upSince time.Time
	// keptAt is when the newest decision to move the box was taken back. Its cell uses it again soon.
	keptAt time.Time
	// slowLife is the life with which the box was last kept because it didn't become empty.
	slowLife damsonwinch.Life
	// maintenanceRefusedAt is when the box was last kept because the platform refused its maintenance.
	maintenanceRefusedAt time.Time
	// restoredAt is when the owner of the cell was last asked to use a withdrawn endpoint on the box again.
	restoredAt time.Time
	// refusedPools are the pools to which the platform refuses to move the box.
	refusedPools map[string]bool
}

// plannedOrder is an order that will be issued once nothing runs on its box.
type plannedOrder struct {
	// pool and shard are where the box goes. An empty pool stands for maintenance in its present
	// pool.
	pool  string
	shard int
	// wave is the wave of the maintenance; 0 for a move.
	wave int
	// since is when the withdrawal of the endpoint started.
	since time.Time
	// urgent says that the running tasks are to be stopped instead of waited for.
	urgent bool
	// evacuation says that the box is to be powered off because its zone is evacuated.
	evacuation bool
	cause      string // See Order.
}

// issuedOrder is an order that has been issued and whose effect has not been seen yet.
type issuedOrder struct {
	Order
	// updatedAt is when the order was issued, and later when the platform accepted it. Only a
	// list of boxes that was requested after that can show the effect.
	updatedAt time.Time
	// accepted says that the platform has accepted the order. Until then the order is repeated.
	accepted bool
	// outcomeUnknown says that an earlier call with the order may have been carried out, so that the
	// refusal of a later one doesn't show that the order had no effect.
	outcomeUnknown bool
	// unansweredAt is when the newest call without an answer was given up; for an inherited order, whose calls
	// aren't known, the time of the first plan.
	unansweredAt time.Time
	// inherited says that an earlier planner recorded the order.
	inherited bool
	// inFlight says that a call to the platform is in progress; sentAt is when the newest began.
	inFlight bool
	sentAt   time.Time
	// lifeExited says that a list has shown the box not up, so that the life which the order ends
	// is over. A later life may have the same ID.
	lifeExited bool
	// maintenanceSeen says that a list has shown the box in maintenance.
	maintenanceSeen bool
}

// SetBoxes sets the boxes to those of a list of the platform. The list was requested at requestedAt
// and shows the boxes at some moment after that.
func (p *Planner) SetBoxes(requestedAt time.Time, listed []damsonwinch.Box) {
	p.boxesRequestedAt = requestedAt
	p.noteListReports()
	present := map[string]bool{}
	p.liveEndpoints = damsonwinch.NewLiveEndpoints(listed)
	for _, info := range listed {
		if info.Name == "" {
			continue // The row doesn't say which box it is about.
		}
		present[info.Name] = true
		if isUnclear(info) {
			continue // The box is planned with as the last list showed it.
		}
		b := p.boxes[info.Name]
		if b == nil {
			b = p.addBox(info.Name)
		}
		if b.info.EndpointID != info.EndpointID || b.info.State != info.State || b.info.Pool != info.Pool {
			b.upSince = requestedAt
		}
		if b.info.EndpointID != info.EndpointID || info.State != damsonwinch.BoxUp {
			b.dropPlannedOrder()
		}
		b.info = info
		if b.life.ID != info.EndpointID {
			b.life = damsonwinch.Life{ID: info.EndpointID}
		}
		if b.issued != nil && info.State != damsonwinch.BoxUp {
			b.issued.lifeExited = true
			b.issued.maintenanceSeen = b.issued.maintenanceSeen || info.State == damsonwinch.BoxMaintenance
		}
		p.updateShard(b)
		p.clearCompletedOrder(b, requestedAt)
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

// isUnclear reports whether the row of a box doesn't say whether an order on it has been carried out: its state can't be
// read, or which endpoint runs there.
func isUnclear(info damsonwinch.Box) bool {
	return info.State == "" || info.State == damsonwinch.BoxUp && info.EndpointID == "" && info.Problem != ""
}

// addBox adds a box of which only the name is known, and returns it.
func (p *Planner) addBox(name string) *box {
	b := &box{info: damsonwinch.Box{Name: name}, refusedPools: map[string]bool{}}
	p.updateShard(b)
	p.boxes[name] = b
	p.boxesByName = append(p.boxesByName, b)
	return b
}

// updateShard recomputes the shard of a box's present life.
func (p *Planner) updateShard(b *box) {
	b.shard = p.layout.LifeShard(b.info.Name, b.info.Pool, b.life, b.placement)
}

// groupBoxesByCell rebuilds boxesByCell.
func (p *Planner) groupBoxesByCell() {
	p.boxesByCell = make(map[string][]*box, len(p.cellNames))
	for _, b := range p.boxesByName {
		p.boxesByCell[b.cellName()] = append(p.boxesByCell[b.cellName()], b)
	}
}

// cellName returns the name of the cell to which the box belongs now.
func (b *box) cellName() string {
	return shard.CellName(b.info.Pool, b.shard)
}

// dropPlannedOrder gives up the planned order of a box whose endpoint has exited.
func (b *box) dropPlannedOrder() {
	b.planned = nil
}

// clearCompletedOrder clears the issued order of a box if a list of boxes, requested at
// requestedAt, shows that it has been carried out.
func (p *Planner) clearCompletedOrder(b *box, requestedAt time.Time) {
	o := b.issued
	if o == nil || requestedAt.Before(o.updatedAt) || b.info.State != damsonwinch.BoxUp {
		return
	}
	lifeExited := o.lifeExited || !b.life.MayBeSame(o.Life)
	if o.inherited && (lifeExited || b.info.Pool == o.Pool) {
		p.settleInheritedOrder(b)
		return
	}
	if !o.accepted {
		if lifeExited && !o.inFlight {
			p.settleUnacceptedOrder(b)
		}
		return
	}
	if o.Pool != "" && b.info.Pool == o.Pool || p.isOver(b, requestedAt, lifeExited) {
		b.issued = nil
	}
}

// isOver reports whether a list of boxes, requested at requestedAt, shows a box after what the accepted order
// on it took, wherever the box is. lifeExited says whether the life that the order was to end is over. If that
// life goes on for too long, the platform had maintained the box before and has done nothing. A box that a late
// copy of an earlier order has moved on is in neither its former pool nor that of the order.
func (p *Planner) isOver(b *box, requestedAt time.Time, lifeExited bool) bool {
	duration := p.options.MoveTime
	if b.issued.Pool == "" {
		duration = p.options.MaintainTime
	}
	since := requestedAt.Sub(b.issued.updatedAt) - duration
	return since >= 0 && (lifeExited || b.info.EndpointID == "") || since >= orderEffectDelay
}

// isAvailable reports whether the planner may plan or issue a new order on a box.
func (p *Planner) isAvailable(b *box) bool {
	return b.info.State == damsonwinch.BoxUp && b.issued == nil && b.planned == nil &&
		p.now.Sub(b.inheritedAt) >= p.options.TakeoverDelay
}

// startWithdrawal has the endpoint of a box withdrawn, so that the planned order can be issued. It takes the place of
// one that the platform has refused.
func (p *Planner) startWithdrawal(b *box, planned plannedOrder) {
	planned.since = p.now
	p.updateBox(b, func() { b.planned, b.issued = &planned, nil })
}

// issueOrder issues a planned order on a box on which nothing runs. The order will be among those that
// Plan returns.
func (p *Planner) issueOrder(b *box, planned plannedOrder) {
	order := Order{Box: b.info.Name, Pool: planned.pool, Shard: planned.shard, PreviousShard: b.shard, Wave: planned.wave, Life: b.life, Cause: planned.cause}
	p.updateBox(b, func() {
		b.issued = &issuedOrder{Order: order, updatedAt: p.now, inFlight: true, sentAt: p.now}
		b.placement = order.placement()
		b.planned = nil
	})
	p.markOrdered(order)
	p.addOrder(order)
}

// markOrdered marks the box of an order as ordered in the order's wave, if it has one. An inherited order
// that the platform refused at first isn't in the earlier planner's record of the wave.
func (p *Planner) markOrdered(order Order) {
	if w := p.waves[order.Wave]; w != nil {
		w.ordered[order.Box] = true
	}
}

// issueDueOrders issues the planned orders of boxes whose endpoints have been withdrawn, and repeats
// the orders that the platform has not accepted, but for those that power boxes off.
func (p *Planner) issueDueOrders() {
	for _, b := range p.boxesByName {
		if pool, due := p.dueOrder(b); due && !p.isPoweredOff(pool) {
			p.issueDueOrder(b)
		}
	}
}

// issueDuePowerOffs does the same as issueDueOrders for the orders that power boxes off.
func (p *Planner) issueDuePowerOffs() {
	for _, b := range p.boxesByName {
		if pool, due := p.dueOrder(b); due && p.isPoweredOff(pool) {
			p.issueDueOrder(b)
		}
	}
}

// dueOrder reports whether an order on a box is to be issued or repeated, and returns the pool to which
// it moves the box.
func (p *Planner) dueOrder(b *box) (pool string, due bool) {
	switch {
	case b.planned != nil:
		return b.planned.pool, p.hasWithdrawn(b)
	case b.issued != nil:
		return b.issued.Pool, p.mayRepeat(b)
	}
	return "", false
}

// hasWithdrawn reports whether the owner of a box's cell has withdrawn its endpoint for the planned order. A report that
// doesn't follow the plan may show an earlier withdrawal that has been given up.
func (p *Planner) hasWithdrawn(b *box) bool {
	if b.report == nil || !b.report.Withdrawn {
		return false
	}
	c := p.cells[b.cellName()]
	return b.restoredAt.IsZero() && !p.restoredUnlisted[b.life.ID] || c != nil && !c.reportFollows.Before(b.planned.since)
}

// issueDueOrder issues or repeats the order on a box unless the platform takes no more orders now.
func (p *Planner) issueDueOrder(b *box) {
	switch {
	case !p.orderPace.available():
	case b.planned != nil:
		p.issueOrder(b, *b.planned)
	default:
		b.issued.inFlight, b.issued.sentAt = true, p.now
		p.addOrder(b.issued.Order)
	}
}

// addOrder adds an order to those that Plan returns.
func (p *Planner) addOrder(order Order) {
	p.orderPace.use()
	p.orders = append(p.orders, order)
}

// HandleOrderResult handles the platform's response to an order, received at now. A nil err means that
// the platform has accepted the order. It reports whether the order has to be recorded as accepted, so that a
// later planner can tell maintenance from a restart of the box.
func (p *Planner) HandleOrderResult(now time.Time, order Order, err error) bool {
	b := p.boxes[order.Box]
	if b == nil || b.issued == nil || b.issued.Order != order {
		return false
	}
	o := b.issued
	o.inFlight = false
	p.noteAnswer(now, err)
	switch {
	case err == nil:
		o.accepted, o.updatedAt = true, now
		p.markOrdered(order)
	case o.outcomeUnknown && errors.Is(err, damsonwinch.ErrBoxNotUp):
		// The box may be down because of this order. The next list that shows it up tells more.
	case errors.Is(err, damsonwinch.ErrInvalid):
		b.refusedPools[order.Pool] = true
		p.revertOrder(b, order)
	case errors.Is(err, damsonwinch.ErrNotInWave):
		// The operator has changed the wave. The box stays marked as ordered in it.
		b.issued = nil
	case errors.Is(err, damsonwinch.ErrBoxNotUp):
		p.revertOrder(b, order)
	case errors.Is(err, damsonwinch.ErrRefused), errors.Is(err, damsonwinch.ErrStaleToken):
		// The platform has done nothing; issueDueOrders repeats the order.
	default:
		// The platform may have carried out the order, or may do so later. Orders are
		// idempotent, so issueDueOrders repeats it until the platform answers.
		o.outcomeUnknown, o.unansweredAt = true, now
	}
	return err == nil && order.Wave > 0
}

// revertOrder forgets an order that had no effect. A box that is due for maintenance is due again.
func (p *Planner) revertOrder(b *box, order Order) {
	b.issued = nil
	if w := p.waves[order.Wave]; w != nil && w.ordered[order.Box] {
		delete(w.ordered, order.Box)
		w.revised = true
	}
}

// placement returns the placement that the order gives to its box.
func (o Order) placement() *shard.Placement {
	return &shard.Placement{Pool: o.Pool, Life: o.Life, Shard: o.Shard, PreviousShard: o.PreviousShard}
}

// LoadOrder takes over an order from the record of an earlier planner.
func (p *Planner) LoadOrder(record wire.OrderRecord) {
	b := p.boxes[record.Box]
	if b == nil {
		b = p.addBox(record.Box)
	}
	b.placement = PlacementFromRecord(record)
	p.updateShard(b)
	life := damsonwinch.ParseLife(record.Endpoint)
	p.recordedLives[life.ID] = append(p.recordedLives[life.ID], life)
	order := Order{Box: record.Box, Pool: record.Pool, Wave: record.Wave, Life: life, Cause: record.Cause, Shard: b.shard, PreviousShard: b.shard}
	if b.placement != nil {
		order.Shard, order.PreviousShard = b.placement.Shard, b.placement.PreviousShard
	}
	b.inheritedAt = time.UnixMilli(int64(record.AtMs))
	// Unless the record says that the order was accepted, it is repeated until the platform accepts it or a list of
	// boxes shows that it was carried out.
	b.issued = &issuedOrder{
		Order: order, updatedAt: b.inheritedAt, inherited: true, accepted: record.Accepted, outcomeUnknown: true,
	}
}
