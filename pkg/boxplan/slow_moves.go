package boxplan

import (
	"fmt"
	"time"
)

// slowMoveDelay is how long a box that leaves its cell may keep capacity from jobs of the cell of which nothing runs. Users
// expect such a job to run within 3 s of there being capacity for it; the rest is for the owner to hear of it and to start a task.
const slowMoveDelay = 2 * time.Second

// takeBackSlowMoves has cells keep boxes that are to be moved, don't become empty, and are mostly unused meanwhile, as
// many as the late jobs of which nothing runs need.
func (p *Planner) takeBackSlowMoves() {
	for _, name := range p.cellNames {
		missing := p.stalledCPU(name)
		for _, b := range p.boxesByCell[name] {
			if missing > 0 && p.isSlowAndUnused(b) {
				missing -= b.unusedCPU()
				p.takeBack(b)
				b.slowLife = b.life
			}
		}
	}
}

// stalledCPU returns the CPU, in thousandths of a core, that a task each of a cell's late jobs of which nothing runs needs
// beyond that of the boxes that the cell keeps for them and that its owner hasn't reported as usable yet.
func (p *Planner) stalledCPU(cellName string) int {
	c := p.cells[cellName]
	if !c.hasFreshReport(p.now) {
		return 0
	}
	cpu := c.report.StalledCpu
	for _, b := range p.boxesByCell[cellName] {
		if b.isKnownAsSlow() && b.planned == nil && b.report != nil && !b.report.Usable && p.wasKept(b) {
			cpu -= b.unusedCPU()
		}
	}
	return cpu
}

// isSlowAndUnused reports whether a box is to be moved and hasn't become empty within slowMoveDelay, though most of its
// CPU is unused. A box that a cell needs for its long-running tasks goes there all the same.
func (p *Planner) isSlowAndUnused(b *box) bool {
	if _, revocable := p.revocableMove(b); !revocable || b.planned == nil || p.now.Sub(b.planned.since) < slowMoveDelay {
		return false
	}
	// An owner that has emptied the box is about to report it as withdrawn.
	if b.report == nil || b.report.Silent || b.report.Runs == 0 || b.report.UsedCpu*100 >= b.info.Capacity.MilliCPU*busyPercent {
		return false
	}
	receiver := p.cells[p.servedCell(b)]
	return receiver == nil || receiver.poweredOff || p.longRunningShortage(receiver) < 0
}

// staysBusy reports whether a box that has been kept because it didn't become empty won't do so now either, or its cell
// has late jobs of which nothing runs. The estimate of the time until it is empty alone was wrong before.
func (p *Planner) staysBusy(b *box) bool {
	isSlow := time.Duration(p.estimateEmptyMs(b))*time.Millisecond > slowMoveDelay
	return b.isKnownAsSlow() && (isSlow || p.cells[b.cellName()].report.StalledCpu > 0)
}

// isKnownAsSlow reports whether the box was kept with its present life because it didn't become empty.
func (b *box) isKnownAsSlow() bool {
	return b.slowLife.ID != "" && b.slowLife == b.life
}

// unusedCPU returns the CPU, in thousandths of a core, that is unused on a box with a report.
func (b *box) unusedCPU() int {
	return max(0, b.info.Capacity.MilliCPU-b.report.UsedCpu)
}

// replaceSlowMoves has powered-off boxes moved to cells that need a box for their long-running tasks sooner than the one
// that is to be moved to them can be empty.
func (p *Planner) replaceSlowMoves() {
	for _, b := range p.boxesByName {
		if !p.isTooSlow(b) {
			continue
		}
		if !p.orderPace.available() {
			return
		}
		cellName := p.servedCell(b)
		poweredOff := p.bestPoweredOffBox(cellName)
		if poweredOff == nil {
			continue
		}
		cause := fmt.Sprintf("cell %s needs a box sooner than %s is empty", cellName, b.info.Name)
		p.issueOrder(poweredOff, plannedOrder{pool: b.planned.pool, shard: b.planned.shard, cause: cause})
		p.takeBack(b)
	}
}

// isTooSlow reports whether a box that is being withdrawn for a cell's long-running tasks won't be empty in the time
// that a powered-off box needs.
func (p *Planner) isTooSlow(b *box) bool {
	if b.planned == nil || b.planned.wave != 0 || p.now.Sub(b.planned.since) < longRunningWait {
		return false
	}
	c := p.cells[p.servedCell(b)]
	isNeeded := c != nil && !c.poweredOff && p.longRunningShortage(c) >= 0
	return isNeeded && time.Duration(p.estimateEmptyMs(b))*time.Millisecond > p.options.MoveTime+FirstTaskDelay
}
