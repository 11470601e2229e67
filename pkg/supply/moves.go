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
	clear(p.shortages)
	p.updateShortSince()
	for {
		name, missing := p.neediestCell()
		if name == "" {
			return
		}
		cause := fmt.Sprintf("cell %s needs %d boxes and has %d", name, p.cells[name].required, p.cells[name].required-missing)
		if !p.addBoxTo(name, cause) {
			p.shortages[name] = cause + ", and no box can be spared"
			continue
		}
	}
}

// neediestCell returns the cell that lacks most, for its size. Those whose lasting tasks have
// too few boxes come first: such a job lacks one box of 14 where a heap of work lacks 290 of
// 320, and until it gets it, a task that is to last stands still.
func (p *Planner) neediestCell() (string, int) {
	worst, worstMissing, worstShare := "", 0, 0
	for _, name := range p.cellNames {
		pool := p.cells[name]
		if pool.poweredOff || !pool.hasFreshReport(p.now) || p.shortages[name] != "" {
			continue
		}
		missing := pool.required - p.boxCount(name)
		// What can't wait comes first.
		share := missing * milliPerBox / max(1, pool.required) * int(defaultSlack) / int(pool.slack())
		if lacking := p.longRunningShortage(pool); lacking > 0 {
			missing, share = max(missing, lacking), share+lacking*longRunningPriority
		}
		if missing > 0 && share > worstShare {
			worst, worstMissing, worstShare = name, missing, share
		}
	}
	return worst, worstMissing
}

// longRunningPriority puts a lasting task's box before all other wants, whose shares are below it.
const longRunningPriority = 1_000_000

// longRunningWait is how long a cell lacks boxes for its lasting tasks before others give up
// theirs: one that is maintained comes back in that time.
const longRunningWait = 4 * time.Second

// updateShortSince notes which cells have begun to lack boxes for their lasting tasks.
func (p *Planner) updateShortSince() {
	for _, name := range p.cellNames {
		switch l := p.cells[name]; {
		case p.longRunningShortage(l) <= 0:
			l.shortSince = time.Time{}
		case l.shortSince.IsZero():
			l.shortSince = p.now
		}
	}
}

// longRunningShortage returns how many boxes a cell has too few for its lasting tasks.
func (p *Planner) longRunningShortage(l *cell) int {
	return l.requiredLongRunning - p.boxCount(l.name)
}

// addBoxTo begins to addBoxTo one box to a cell.
func (p *Planner) addBoxTo(name, cause string) bool {
	pool := p.cells[name].pool
	if p.cancelPowerOff(name) {
		return true
	}
	if b := p.bestPoweredOffBox(name); b != nil {
		p.issueOrder(b, plannedOrder{pool: pool, shard: p.cells[name].shard, cause: cause})
		return true
	}
	if b := p.bestSpareBox(name); b != nil {
		p.startWithdrawal(b, plannedOrder{pool: pool, shard: p.cells[name].shard, cause: cause, urgent: true})
		return true
	}
	return false
}

// cancelPowerOff gives up the parking of a box that its cell needs after all.
func (p *Planner) cancelPowerOff(name string) bool {
	for _, b := range p.boxesByCell[name] {
		if b.planned != nil && p.isPoweredOff(b.planned.pool) {
			p.updateBox(b, func() { b.planned = nil })
			return true
		}
	}
	return false
}

// bestPoweredOffBox returns the bestPoweredOffBox box that suits a cell best, of whatever shard.
func (p *Planner) bestPoweredOffBox(name string) *box {
	parking, exists := p.poweredOffPool()
	if !exists {
		return nil
	}
	receiver := p.cells[name]
	var choice cheapest
	for _, from := range p.layout.CellNames(parking) {
		for _, b := range p.boxesByCell[from] {
			if p.isAvailable(b) && !b.refusedPools[receiver.pool] {
				// A box that is due for maintenance is better left where it costs nothing,
				// and one in a zone that is cut off would be of no use.
				choice.offer(b, p.zoneBoxCount(name, b.info.Zone)*2+boolInt(p.dueWave(b) != nil)+boolInt(p.cutOffZones[b.info.Zone])*cutOffZoneCost)
			}
		}
	}
	return choice.box
}

// bestSpareBox returns a box that another pool can do without in the cell's shard, or one of any
// shard that is already being emptied to be parked. Who keeps how much is weighed between two
// cells: where those of all shards took from one, each left it its share of the two.
func (p *Planner) bestSpareBox(name string) *box {
	var choice cheapest
	receiver := p.cells[name]
	for _, other := range p.cellNames {
		donor := p.cells[other]
		if donor.pool == receiver.pool || donor.poweredOff {
			continue
		}
		mayDonate := donor.hasFreshReport(p.now) && p.gives(donor, receiver)
		for _, b := range p.boxesByCell[other] {
			if !b.refusedPools[receiver.pool] && (p.isBeingPoweredOff(b) || mayDonate && p.canEmptySoon(b)) {
				choice.offer(b, p.estimateEmptyMs(b)+p.zoneBoxCount(name, b.info.Zone)*zoneCostMs)
			}
		}
	}
	return choice.box
}

// gives says whether a cell gives a box to another one. For lasting tasks that have been short
// of boxes for a while, the cells of all shards give what their own lasting tasks and the loss
// of a box leave them.
func (p *Planner) gives(donor, receiver *cell) bool {
	if p.longRunningShortage(receiver) > 0 && p.now.Sub(receiver.shortSince) >= longRunningWait && p.boxCount(donor.name) > max(donor.requiredLongRunning, donor.minBoxes()) {
		return true
	}
	return donor.shard == receiver.shard && p.boxCount(donor.name) > p.minRetained(donor, receiver)
}

// cutOffZoneCost puts the boxes of a zone that is cut off behind all others.
const cutOffZoneCost = 1_000_000

// isBeingPoweredOff says whether a box that is up is being emptied to be parked.
func (p *Planner) isBeingPoweredOff(b *box) bool {
	return b.planned != nil && b.planned.wave == 0 && p.isPoweredOff(b.planned.pool) && b.info.State == damsonwinch.BoxUp
}

// canEmptySoon says whether a box is at work in its pool and has no lasting tasks, so that
// it can soon be empty.
func (p *Planner) canEmptySoon(b *box) bool {
	return p.isAvailable(b) && b.report != nil && b.report.Usable && b.report.Lasting == 0
}

// minRetained returns how many boxes a cell keeps when another one asks: what it uses now
// if the other has work that waits, or can wait much less, and else what it needs. What it
// has needed of late counts less than that: when demand turned to another pool, that one
// waited for seconds beside idle boxes. Worth some 0.016 of a day's 1.0, by paired plays
// of nine days with one trouble each.
func (p *Planner) minRetained(donor, receiver *cell) int {
	need := max(donor.required, int(math.Round(donor.meanRequired)))
	if receiver.requiredOnTime > p.boxCount(receiver.name) || donor.slack() >= donorSlackFactor*receiver.slack() {
		return min(need, max(donor.requiredOnTime, int(math.Round(donor.meanRequiredOnTime))), p.fairShare(donor, receiver))
	}
	return need
}

// fairShare returns how many boxes a pool keeps beside another one where both have more
// work than boxes. Without it the pool whose burst came first kept all until its own work
// in time was done. Worth 0.02 of a day's 1.0 with a burst of five times the traffic for
// 10 s, by eight paired plays; nothing on days without one.
func (p *Planner) fairShare(donor, receiver *cell) int {
	wanted := min(float64(receiver.requiredOnTime), receiver.meanRequiredOnTime)
	keeps := max(float64(donor.requiredOnTime), donor.meanRequiredOnTime)
	both := float64(p.boxCount(donor.name) + p.boxCount(receiver.name))
	return int(math.Ceil(both * keeps / (keeps + wanted) * fairShareMargin))
}

// fairShareMargin is how much more than its share of two short pools' boxes a pool keeps: two
// moves cost about six seconds of a box.
const fairShareMargin = 1.25

// isPoweredOff says whether a pool's boxes are off.
func (p *Planner) isPoweredOff(pool string) bool {
	known := p.cells[pool]
	return known != nil && known.poweredOff
}

// zoneCostMs is what one box more in a zone counts when boxes are chosen, beside the
// milliseconds in which they will be empty.
const zoneCostMs = 30

// estimateEmptyMs estimates in how many milliseconds a box can be empty.
func (p *Planner) estimateEmptyMs(b *box) int {
	if b.report == nil {
		return 0
	}
	// A lasting task has to be started elsewhere before the next one can go.
	const lastingMs = 2000
	return b.report.EmptyMs + b.report.Lasting*lastingMs
}

// powerOffSurplus parks boxes that a cell has not needed for a while.
func (p *Planner) powerOffSurplus() {
	parking, exists := p.poweredOffPool()
	if !exists {
		return
	}
	for _, name := range p.cellNames {
		pool := p.cells[name]
		if pool.poweredOff || !pool.hasFreshReport(p.now) {
			continue
		}
		for p.boxCount(name) > pool.retained() {
			b := p.easiestToEmpty(name, parking)
			if b == nil {
				break
			}
			p.startWithdrawal(b, plannedOrder{pool: parking, shard: b.shard, cause: fmt.Sprintf("cell %s has needed no more than %d boxes", name, pool.retained())})
		}
	}
}

// easiestToEmpty returns the box of a cell that is emptied most easily.
func (p *Planner) easiestToEmpty(name, parking string) *box {
	var choice cheapest
	for _, b := range p.boxesByCell[name] {
		if p.canEmptySoon(b) && !b.refusedPools[parking] {
			choice.offer(b, p.estimateEmptyMs(b)-p.zoneBoxCount(name, b.info.Zone)*zoneCostMs)
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
