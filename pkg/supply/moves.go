package supply

import (
	"fmt"
	"math"
	"time"

	"damsonwinch"
)

// fillCells brings boxes to cells that need more: parked ones first, then what
// other pools can spare, of the same shard.
func (p *Planner) fillCells() {
	clear(p.waits)
	p.noteLacking()
	for {
		name, missing := p.shortest()
		if name == "" {
			return
		}
		cause := fmt.Sprintf("cell %s needs %d boxes and has %d", name, p.cells[name].need, p.cells[name].need-missing)
		if !p.bring(name, cause) {
			p.waits[name] = cause + ", and no box can be spared"
			continue
		}
	}
}

// shortest returns the cell that lacks most, for its size. Those whose lasting tasks have
// too few boxes come first: such a job lacks one box of 14 where a heap of work lacks 290 of
// 320, and until it gets it, a task that is to last stands still.
func (p *Planner) shortest() (string, int) {
	worst, worstMissing, worstShare := "", 0, 0
	for _, name := range p.names {
		pool := p.cells[name]
		if pool.parking || !pool.fresh(p.now) || p.waits[name] != "" {
			continue
		}
		missing := pool.need - p.has(name)
		// What can't wait comes first.
		share := missing * wholeBox / max(1, pool.need) * int(usualSlack) / int(pool.slack())
		if lacking := p.lacksLasting(pool); lacking > 0 {
			missing, share = max(missing, lacking), share+lacking*lastingFirst
		}
		if missing > 0 && share > worstShare {
			worst, worstMissing, worstShare = name, missing, share
		}
	}
	return worst, worstMissing
}

// lastingFirst puts a lasting task's box before all other wants, whose shares are below it.
const lastingFirst = 1_000_000

// lastingPatience is how long a cell lacks boxes for its lasting tasks before others give up
// theirs: one that is maintained comes back in that time.
const lastingPatience = 4 * time.Second

// noteLacking notes which cells have begun to lack boxes for their lasting tasks.
func (p *Planner) noteLacking() {
	for _, name := range p.names {
		switch l := p.cells[name]; {
		case p.lacksLasting(l) <= 0:
			l.lackingSince = time.Time{}
		case l.lackingSince.IsZero():
			l.lackingSince = p.now
		}
	}
}

// lacksLasting returns how many boxes a cell has too few for its lasting tasks.
func (p *Planner) lacksLasting(l *cell) int {
	return l.lasting - p.has(l.name)
}

// bring begins to bring one box to a cell.
func (p *Planner) bring(name, cause string) bool {
	pool := p.cells[name].pool
	if p.keep(name) {
		return true
	}
	if b := p.parked(name); b != nil {
		p.orderNow(b, purpose{pool: pool, shard: p.cells[name].shard, cause: cause})
		return true
	}
	if b := p.spare(name); b != nil {
		p.take(b, purpose{pool: pool, shard: p.cells[name].shard, cause: cause, hurry: true})
		return true
	}
	return false
}

// keep gives up the parking of a box that its cell needs after all.
func (p *Planner) keep(name string) bool {
	for _, b := range p.byCell[name] {
		if b.purpose != nil && p.isParking(b.purpose.pool) {
			p.change(b, func() { b.purpose = nil })
			return true
		}
	}
	return false
}

// parked returns the parked box that suits a cell best, of whatever shard.
func (p *Planner) parked(name string) *box {
	parking, exists := p.parkingPool()
	if !exists {
		return nil
	}
	receiver := p.cells[name]
	var choice cheapest
	for _, from := range p.layout.CellNames(parking) {
		for _, b := range p.byCell[from] {
			if p.free(b) && !b.refuses[receiver.pool] {
				// A box that is due for maintenance is better left where it costs nothing,
				// and one in a zone that is cut off would be of no use.
				choice.offer(b, p.zoneCount(name, b.info.Zone)*2+boolInt(p.dueWave(b) != nil)+boolInt(p.cutZones[b.info.Zone])*cutZoneCost)
			}
		}
	}
	return choice.box
}

// spare returns a box that another pool can do without in the cell's shard, or one of any
// shard that is already being emptied to be parked. Who keeps how much is weighed between two
// cells: where those of all shards took from one, each left it its share of the two.
func (p *Planner) spare(name string) *box {
	var choice cheapest
	receiver := p.cells[name]
	for _, other := range p.names {
		donor := p.cells[other]
		if donor.pool == receiver.pool || donor.parking {
			continue
		}
		gives := donor.fresh(p.now) && p.gives(donor, receiver)
		for _, b := range p.byCell[other] {
			if !b.refuses[receiver.pool] && (p.isBeingParked(b) || gives && p.isIdle(b)) {
				choice.offer(b, p.emptying(b)+p.zoneCount(name, b.info.Zone)*zoneMs)
			}
		}
	}
	return choice.box
}

// gives says whether a cell gives a box to another one. For lasting tasks that have been short
// of boxes for a while, the cells of all shards give what their own lasting tasks and the loss
// of a box leave them.
func (p *Planner) gives(donor, receiver *cell) bool {
	if p.lacksLasting(receiver) > 0 && p.now.Sub(receiver.lackingSince) >= lastingPatience && p.has(donor.name) > max(donor.lasting, donor.least()) {
		return true
	}
	return donor.shard == receiver.shard && p.has(donor.name) > p.leastFor(donor, receiver)
}

// cutZoneCost puts the boxes of a zone that is cut off behind all others.
const cutZoneCost = 1_000_000

// isBeingParked says whether a box that is up is being emptied to be parked.
func (p *Planner) isBeingParked(b *box) bool {
	return b.purpose != nil && b.purpose.wave == 0 && p.isParking(b.purpose.pool) && b.info.State == damsonwinch.BoxUp
}

// isIdle says whether a box is at work in its pool and has no lasting tasks, so that
// it can soon be empty.
func (p *Planner) isIdle(b *box) bool {
	return p.free(b) && b.report != nil && b.report.Usable && b.report.Lasting == 0
}

// leastFor returns how many boxes a cell keeps when another one asks: what it uses now
// if the other has work that waits, or can wait much less, and else what it needs. What it
// has needed of late counts less than that: when demand turned to another pool, that one
// waited for seconds beside idle boxes. Worth some 0.016 of a day's 1.0, by paired plays
// of nine days with one trouble each.
func (p *Planner) leastFor(donor, receiver *cell) int {
	need := max(donor.need, int(math.Round(donor.usualNeed)))
	if receiver.firm > p.has(receiver.name) || donor.slack() >= patientTimes*receiver.slack() {
		return min(need, max(donor.firm, int(math.Round(donor.usualFirm))), p.fairShare(donor, receiver))
	}
	return need
}

// fairShare returns how many boxes a pool keeps beside another one where both have more
// work than boxes. Without it the pool whose burst came first kept all until its own work
// in time was done. Worth 0.02 of a day's 1.0 with a burst of five times the traffic for
// 10 s, by eight paired plays; nothing on days without one.
func (p *Planner) fairShare(donor, receiver *cell) int {
	wanted := min(float64(receiver.firm), receiver.usualFirm)
	keeps := max(float64(donor.firm), donor.usualFirm)
	both := float64(p.has(donor.name) + p.has(receiver.name))
	return int(math.Ceil(both * keeps / (keeps + wanted) * shareMargin))
}

// shareMargin is how much more than its share of two short pools' boxes a pool keeps: two
// moves cost about six seconds of a box.
const shareMargin = 1.25

// isParking says whether a pool's boxes are off.
func (p *Planner) isParking(pool string) bool {
	known := p.cells[pool]
	return known != nil && known.parking
}

// zoneMs is what one box more in a zone counts when boxes are chosen, beside the
// milliseconds in which they will be empty.
const zoneMs = 30

// emptying estimates in how many milliseconds a box can be empty.
func (p *Planner) emptying(b *box) int {
	if b.report == nil {
		return 0
	}
	// A lasting task has to be started elsewhere before the next one can go.
	const lastingMs = 2000
	return b.report.EmptyMs + b.report.Lasting*lastingMs
}

// releaseSurplus parks boxes that a cell has not needed for a while.
func (p *Planner) releaseSurplus() {
	parking, exists := p.parkingPool()
	if !exists {
		return
	}
	for _, name := range p.names {
		pool := p.cells[name]
		if pool.parking || !pool.fresh(p.now) {
			continue
		}
		for p.has(name) > pool.held() {
			b := p.idle(name, parking)
			if b == nil {
				break
			}
			p.take(b, purpose{pool: parking, shard: b.shard, cause: fmt.Sprintf("cell %s has needed no more than %d boxes", name, pool.held())})
		}
	}
}

// idle returns the box of a cell that is emptied most easily.
func (p *Planner) idle(name, parking string) *box {
	var choice cheapest
	for _, b := range p.byCell[name] {
		if p.isIdle(b) && !b.refuses[parking] {
			choice.offer(b, p.emptying(b)-p.zoneCount(name, b.info.Zone)*zoneMs)
		}
	}
	return choice.box
}

// cheapest is the box with the lowest cost of those that it was offered; of equal
// ones the first.
type cheapest struct {
	box  *box
	cost int
}

func (c *cheapest) offer(b *box, cost int) {
	if c.box == nil || cost < c.cost {
		c.box, c.cost = b, cost
	}
}

func boolInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
