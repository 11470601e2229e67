package boxplan

import (
	"fmt"
	"math"
	"time"
)

// fillCells decides which boxes to give to cells that need more: first powered-off ones, then those
// that cells of other pools can spare. It stops when the platform takes no more orders; the next plan goes
// on with the cell that is the neediest then.
func (p *Planner) fillCells() {
	clear(p.shortages)
	p.updateShortSince()
	for p.orderPace.available() {
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

// neediestCell returns the cell that lacks the largest share of its boxes, weighted by its urgency,
// and how many it lacks; an empty name if none lacks any. Cells that lack boxes for long-running
// tasks come first. Such a cell may lack one box of 14 while a cell with a large backlog lacks 290 of
// 320, but until it gets that box, a long-running task can't run.
func (p *Planner) neediestCell() (string, int) {
	worst, worstMissing, worstShare := "", 0, 0
	for _, name := range p.cellNames {
		c := p.cells[name]
		if c.poweredOff || !c.hasFreshReport(p.now) || p.shortages[name] != "" {
			continue
		}
		missing := c.required - p.boxCount(name)
		// The less slack the cell's jobs have, the more its missing boxes count.
		share := missing * milliPerBox / max(1, c.required) * int(defaultSlack) / int(c.slack())
		if shortage := p.longRunningShortage(c); shortage > 0 {
			missing, share = max(missing, shortage), share+shortage*longRunningPriority
		}
		if missing > 0 && share > worstShare {
			worst, worstMissing, worstShare = name, missing, share
		}
	}
	return worst, worstMissing
}

// longRunningPriority is added to the share that a cell lacks, once for each box that its long-running
// tasks lack. All shares without it are lower.
const longRunningPriority = 1_000_000

// longRunningWait is how long a cell must have lacked boxes for its long-running tasks before cells of
// all shards give up boxes for them. With the move and the short tasks on the box it must be less than the 6 s within which
// users expect such a task to run again.
const longRunningWait = 2 * time.Second

// updateShortSince updates shortSince and unservedSince of all cells.
func (p *Planner) updateShortSince() {
	for _, name := range p.cellNames {
		switch c := p.cells[name]; {
		case p.longRunningShortage(c) <= 0:
			c.shortSince = time.Time{}
		case c.shortSince.IsZero():
			c.shortSince = p.now
		}
		p.cells[name].updateUnservedSince(p.now)
	}
}

// longRunningShortage returns how many boxes a cell lacks for its long-running tasks; 0 or a negative
// number if it has enough.
func (p *Planner) longRunningShortage(c *cell) int {
	return c.requiredLongRunning - p.boxCount(c.name)
}

// addBoxTo starts to give a box to a cell and reports whether it has found one. cause is the cause of
// the order; see Order.
func (p *Planner) addBoxTo(cellName, cause string) bool {
	pool := p.cells[cellName].pool
	if p.keepBox(cellName, p.longRunningShortage(p.cells[cellName]) > 0) != nil {
		return true
	}
	if b := p.bestPoweredOffBox(cellName); b != nil {
		p.issueOrder(b, plannedOrder{pool: pool, shard: p.cells[cellName].shard, cause: cause})
		return true
	}
	if b := p.bestSpareBox(cellName); b != nil {
		p.startWithdrawal(b, plannedOrder{pool: pool, shard: p.cells[cellName].shard, cause: cause, urgent: true})
		return true
	}
	return false
}

// bestSpareBox returns the best box for a cell among those of other pools: boxes that cells of the
// same shard can spare (for exceptions see mayDonate), and boxes of any shard that are being
// withdrawn to be powered off. It returns nil if there is none or control of boxes is away. Cells of other shards don't donate
// because the number of boxes that a donor keeps is computed for it and one receiver alone. When
// cells of all shards took boxes from one donor, each left it only its fair share beside that cell.
func (p *Planner) bestSpareBox(cellName string) *box {
	var choice cheapest
	if p.controlIsAway() {
		return nil
	}
	receiver := p.cells[cellName]
	offer := func(b *box) {
		p.boxesExamined++
		if !b.refusedPools[receiver.pool] && (p.isBeingPoweredOff(b) || p.canEmptySoon(b)) {
			choice.offer(b, p.estimateEmptyMs(b)+p.zoneBoxCount(cellName, b.info.Zone)*zoneCostMs)
		}
	}
	for _, b := range p.boxesBeingPoweredOff() {
		// Without a report the box can't be withdrawn, and nothing tells when it is empty.
		if b.info.Pool != receiver.pool && p.isBeingPoweredOff(b) && b.report != nil {
			offer(b)
		}
	}
	for _, other := range p.cellNames {
		donor := p.cells[other]
		if donor.pool == receiver.pool || donor.poweredOff || !donor.hasFreshReport(p.now) || !p.mayDonate(donor, receiver) {
			continue
		}
		for _, b := range p.boxesByCell[other] {
			offer(b)
		}
	}
	return choice.box
}

// mayDonate reports whether a cell can spare a box for another one. If the receiver has lacked boxes
// for its long-running tasks for longRunningWait, cells of all shards keep only the boxes for their own
// long-running tasks and those that they need to survive the loss of a box.
func (p *Planner) mayDonate(donor, receiver *cell) bool {
	if p.longRunningShortage(receiver) > 0 && p.now.Sub(receiver.shortSince) >= longRunningWait && p.boxesInUse(donor.name) > max(donor.requiredLongRunning, donor.minBoxes()) {
		return true
	}
	return donor.shard == receiver.shard && p.boxesInUse(donor.name) > p.minRetained(donor, receiver)
}

// cutOffZoneCost puts the boxes of a zone that is cut off behind all others.
const cutOffZoneCost = 1_000_000

// canEmptySoon reports whether a box is in use and can soon be empty because it has no long-running
// tasks, none of its cell needs it, and it isn't known to stay busy. A box in an evacuated zone isn't in use.
func (p *Planner) canEmptySoon(b *box) bool {
	isFree := b.report != nil && b.report.Usable && b.report.Lasting == 0 && !b.report.NeededByLasting
	return isFree && p.isAvailable(b) && !p.isEvacuated(b) && !p.staysBusy(b)
}

// minRetained returns how many boxes a cell keeps when another one needs boxes. If the receiver lacks
// boxes for on-time work, or its slack is smaller by donorSlackFactor, the donor keeps what it needs for
// on-time work or, if less, its fair share. Otherwise it keeps what it needs for all its work. In any case
// it keeps the boxes for its long-running tasks, also of those that wait for one. Its peaks don't count:
// when they did and demand moved to another pool, that pool's jobs waited for seconds beside idle boxes.
// This rule raises the score of a simulated day with one fault by some 0.016, on a scale of 0 to 1.
func (p *Planner) minRetained(donor, receiver *cell) int {
	required := max(donor.required, int(math.Round(donor.meanRequired)))
	if receiver.requiredOnTime > p.boxCount(receiver.name) || donor.slack() >= donorSlackFactor*receiver.slack() {
		onTime := max(donor.requiredOnTime, int(math.Round(donor.meanRequiredOnTime)))
		return max(donor.requiredLongRunning, min(required, onTime, p.fairShare(donor, receiver)))
	}
	return required
}

// fairShare returns how many boxes a cell keeps at least if it and the receiver together have too few
// for their on-time work. It is in proportion to that work. Without this rule the pool whose burst came
// first kept all boxes until its on-time work was done. The rule raises the score of a simulated day
// with a 10 s burst of five times the traffic by 0.02, on a scale of 0 to 1. On days without a burst it
// changes nothing.
func (p *Planner) fairShare(donor, receiver *cell) int {
	receives := min(float64(receiver.requiredOnTime), receiver.meanRequiredOnTime)
	keeps := max(float64(donor.requiredOnTime), donor.meanRequiredOnTime)
	both := float64(p.boxCount(donor.name) + p.boxCount(receiver.name))
	return int(math.Ceil(both * keeps / (keeps + receives) * fairShareMargin))
}

// fairShareMargin is the factor by which a cell keeps more than its exact share of its own and the
// receiver's boxes: moving a box away and back costs about six seconds of its time.
const fairShareMargin = 1.25

// isPoweredOff reports whether a pool's boxes are powered off.
func (p *Planner) isPoweredOff(pool string) bool {
	c := p.cells[pool]
	return c != nil && c.poweredOff
}

// zoneCostMs is the weight of each box that a cell has in a zone when a box is chosen by the time until
// it is empty, in milliseconds.
const zoneCostMs = 30

// estimateEmptyMs estimates in how many milliseconds a box can be empty. It returns 0 for a box without
// a report.
func (p *Planner) estimateEmptyMs(b *box) int {
	if b.report == nil {
		return 0
	}
	// A long-running task must be running elsewhere before the next one can be stopped.
	const longRunningMs = 2000
	return b.report.EmptyMs + b.report.Lasting*longRunningMs
}

// powerOffSurplus starts to power off the boxes that cells have not needed for a while, no more at a time
// than the platform takes soon. A withdrawn box that waits for its order is of no use to anyone, and its cell
// may need it meanwhile.
func (p *Planner) powerOffSurplus() {
	poweredOff, exists := p.poweredOffPool()
	if !exists || p.controlIsAway() {
		return
	}
	pending := p.pendingPowerOffs()
	for _, name := range p.cellNames {
		c := p.cells[name]
		if c.poweredOff || !c.hasFreshReport(p.now) {
			continue
		}
		for p.boxesInUse(name) > c.retained() && (p.options.PowerOffsPerSecond == 0 || pending < p.options.PowerOffsPerSecond) {
			b := p.easiestToEmpty(name, poweredOff)
			if b == nil {
				break
			}
			pending++
			p.startWithdrawal(b, plannedOrder{pool: poweredOff, shard: b.shard, cause: fmt.Sprintf("cell %s has needed no more than %d boxes", name, c.retained())})
		}
	}
}

// pendingPowerOffs returns how many boxes are to be powered off and still in their pools by what the platform
// has accepted.
func (p *Planner) pendingPowerOffs() int {
	count := 0
	for _, b := range p.boxesByName {
		planned := b.planned != nil && p.isPoweredOff(b.planned.pool)
		issued := b.issued != nil && !b.issued.accepted && p.isPoweredOff(b.issued.Pool)
		if planned || issued {
			count++
		}
	}
	return count
}

// easiestToEmpty returns the box of a cell that can be empty soonest and may be moved to the pool of
// powered-off boxes. It prefers zones where the cell has many boxes, and returns nil if there is no
// such box.
func (p *Planner) easiestToEmpty(cellName, poweredOffPool string) *box {
	var choice cheapest
	for _, b := range p.boxesByCell[cellName] {
		p.boxesExamined++
		if p.canEmptySoon(b) && !b.refusedPools[poweredOffPool] {
			choice.offer(b, p.estimateEmptyMs(b)-p.zoneBoxCount(cellName, b.info.Zone)*zoneCostMs)
		}
	}
	return choice.box
}

// cheapest holds the box with the lowest cost among those that were offered; the first of equals.
type cheapest struct {
	box  *box
	cost int
}

// offer takes the box if it is the first one or its cost is lower.
func (c *cheapest) offer(b *box, cost int) {
	if c.box == nil || cost < c.cost {
		c.box, c.cost = b, cost
	}
}

// boolInt returns 1 for true and 0 for false.
func boolInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
