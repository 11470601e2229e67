package boxplan

import (
	"fmt"
	"time"
)

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
