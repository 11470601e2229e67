package supply

import (
	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// boxCounts counts the boxes that serve the cells, or will without another decision.
// It is made anew for each plan and kept true while the plan is made, so that a
// plan's cost grows with the boxes and not with their square.
type boxCounts struct {
	byCell map[string]int
	byZone map[cellZone]int
}

// cellZone is a cell's part in an availability zone.
type cellZone struct {
	cell, zone string
}

func (c *boxCounts) add(cell, zone string, count int) {
	c.byCell[cell] += count
	c.byZone[cellZone{cell: cell, zone: zone}] += count
}

// countBoxes makes the census.
func (p *Planner) countBoxes() {
	p.boxCounts = boxCounts{byCell: make(map[string]int, len(p.cellNames)), byZone: map[cellZone]int{}}
	for _, b := range p.boxesByName {
		p.boxCounts.add(p.servedCell(b), b.info.Zone, 1)
	}
}

// updateBox decides something new about a box.
func (p *Planner) updateBox(b *box, decide func()) {
	p.boxCounts.add(p.servedCell(b), b.info.Zone, -1)
	decide()
	p.boxCounts.add(p.servedCell(b), b.info.Zone, 1)
}

// boxCount counts the boxes that serve a cell or will soon.
func (p *Planner) boxCount(name string) int {
	return p.boxCounts.byCell[name]
}

// zoneBoxCount counts a cell's boxes in a zone, so that new ones go where it has
// least and the loss of a zone costs no cell too much.
func (p *Planner) zoneBoxCount(name, zone string) int {
	return p.boxCounts.byZone[cellZone{cell: name, zone: zone}]
}

// servedCell returns the cell that a box serves, or will without another decision;
// empty for none.
func (p *Planner) servedCell(b *box) string {
	pool := p.servedPool(b)
	if pool == "" {
		return ""
	}
	number := b.shard
	switch {
	case b.issued != nil:
		number = b.issued.Shard
	case b.planned != nil:
		number = b.planned.shard
	}
	return shard.CellName(pool, number)
}

// servedPool returns the pool that a box serves, or will without another decision;
// empty for none.
func (p *Planner) servedPool(b *box) string {
	if b.issued != nil {
		if b.issued.Pool != "" {
			return b.issued.Pool
		}
		return b.info.Pool
	}
	if b.planned != nil {
		// A box that is emptied for maintenance takes no work until it is back.
		return b.planned.pool
	}
	if b.info.State == damsonwinch.BoxDown {
		return ""
	}
	known := p.cells[b.cellName()]
	arriving := p.now.Sub(b.upSince) < joinTimeout
	if arriving || known == nil || (b.report != nil && b.report.Usable) || (b.report == nil && !known.hasFreshReport(p.now)) {
		return b.info.Pool
	}
	return ""
}
