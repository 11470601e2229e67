package boxplan

import (
	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// boxCounts counts for each cell the boxes that serve it, or will serve it by the decisions made so
// far; see servedCell. Plan counts them once at its start and updateBox corrects the counts with each
// decision, so that the cost of Plan grows linearly with the number of boxes and not with its square.
type boxCounts struct {
	byCell map[string]int
	byZone map[cellZone]int
	// inUse counts, by cell, those that the cell's owner can use now and that stay with the cell.
	inUse map[string]int
}

// cellZone is the part of a cell that is in one availability zone.
type cellZone struct {
	cell, zone string
}

// add adds count, which may be negative, to the boxes of a cell and of its part in a zone. inUse says that the cell's
// owner can use them.
func (c *boxCounts) add(cell, zone string, inUse bool, count int) {
	c.byCell[cell] += count
	c.byZone[cellZone{cell: cell, zone: zone}] += count
	if inUse {
		c.inUse[cell] += count
	}
}

// countBoxes counts all boxes anew.
func (p *Planner) countBoxes() {
	p.boxCounts = boxCounts{byCell: make(map[string]int, len(p.cellNames)), byZone: map[cellZone]int{}, inUse: make(map[string]int, len(p.cellNames))}
	for _, b := range p.boxesByName {
		p.boxCounts.add(p.servedCell(b), b.info.Zone, p.isUsed(b), 1)
	}
}

// updateBox calls decide, which changes the planned or issued order of a box, and corrects the
// counts: decide may change the cell that the box serves.
func (p *Planner) updateBox(b *box, decide func()) {
	p.boxCounts.add(p.servedCell(b), b.info.Zone, p.isUsed(b), -1)
	decide()
	p.boxCounts.add(p.servedCell(b), b.info.Zone, p.isUsed(b), 1)
}

// boxCount returns the number of boxes that serve a cell or will serve it by the decisions made so far.
func (p *Planner) boxCount(cellName string) int {
	return p.boxCounts.byCell[cellName]
}

// boxesInUse returns the number of boxes that boxCount counts for a cell and that its owner can use now. A cell gives
// away only such boxes as it has too many of: it may have to wait for the others.
func (p *Planner) boxesInUse(cellName string) int {
	return p.boxCounts.inUse[cellName]
}

// zoneBoxCount returns how many of the boxes that boxCount counts for a cell are in a zone. A cell gets
// boxes from the zones where it has fewest, so that it loses only a fair part of them with a zone.
func (p *Planner) zoneBoxCount(cellName, zone string) int {
	return p.boxCounts.byZone[cellZone{cell: cellName, zone: zone}]
}

// servedCell returns the cell that a box serves, or will serve by the decisions made so far; empty for
// none.
func (p *Planner) servedCell(b *box) string {
	pool := p.servedPool(b)
	if pool == "" {
		return ""
	}
	number := b.shard
	switch {
	case b.issued != nil && !p.isDoubtful(b):
		number = b.issued.Shard
	case b.planned != nil && !p.isUnreachable(b):
		number = b.planned.shard
	}
	return shard.CellName(pool, number)
}

// servedPool returns the pool that a box serves, or will serve by the decisions made so far; empty for
// none. A box that is being maintained counts for its pool, since it is back soon. A box in an evacuated
// zone counts for no pool, nor does one that is down: when it is back is unknown, whatever order it has.
func (p *Planner) servedPool(b *box) string {
	if p.isEvacuated(b) || b.info.State == damsonwinch.BoxDown {
		return ""
	}
	if b.issued != nil && !p.isDoubtful(b) {
		if b.issued.Pool != "" {
			return b.issued.Pool
		}
		return b.info.Pool
	}
	if b.planned != nil && !p.isUnreachable(b) {
		// The pool is empty for maintenance: a box that is withdrawn for maintenance takes no
		// work until it is back.
		return b.planned.pool
	}
	c := p.cells[b.cellName()]
	joining := p.now.Sub(b.upSince) < joinTimeout || p.wasKept(b)
	if joining || c == nil || (b.report != nil && b.report.Usable) || (b.report == nil && !c.hasFreshReport(p.now)) {
		return b.info.Pool
	}
	return ""
}
