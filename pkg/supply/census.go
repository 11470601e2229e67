package supply

import (
	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// census counts the boxes that serve the cells, or will without another decision.
// It is made anew for each plan and kept true while the plan is made, so that a
// plan's cost grows with the boxes and not with their square.
type census struct {
	byCell map[string]int
	byZone map[place]int
}

// place is a cell's part in an availability zone.
type place struct {
	cell, zone string
}

func (c *census) add(cell, zone string, count int) {
	c.byCell[cell] += count
	c.byZone[place{cell: cell, zone: zone}] += count
}

// countBoxes makes the census.
func (p *Planner) countBoxes() {
	p.census = census{byCell: make(map[string]int, len(p.names)), byZone: map[place]int{}}
	for _, b := range p.order {
		p.census.add(p.servedCell(b), b.info.Zone, 1)
	}
}

// change decides something new about a box.
func (p *Planner) change(b *box, decide func()) {
	p.census.add(p.servedCell(b), b.info.Zone, -1)
	decide()
	p.census.add(p.servedCell(b), b.info.Zone, 1)
}

// has counts the boxes that serve a cell or will soon.
func (p *Planner) has(name string) int {
	return p.census.byCell[name]
}

// zoneCount counts a cell's boxes in a zone, so that new ones go where it has
// least and the loss of a zone costs no cell too much.
func (p *Planner) zoneCount(name, zone string) int {
	return p.census.byZone[place{cell: name, zone: zone}]
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
	case b.ordered != nil:
		number = b.ordered.Shard
	case b.purpose != nil:
		number = b.purpose.shard
	}
	return shard.CellName(pool, number)
}

// servedPool returns the pool that a box serves, or will without another decision;
// empty for none.
func (p *Planner) servedPool(b *box) string {
	if b.ordered != nil {
		if b.ordered.Pool != "" {
			return b.ordered.Pool
		}
		return b.info.Pool
	}
	if b.purpose != nil {
		// A box that is emptied for maintenance takes no work until it is back.
		return b.purpose.pool
	}
	if b.info.State == damsonwinch.BoxDown {
		return ""
	}
	known := p.cells[b.cell()]
	arriving := p.now.Sub(b.upAt) < arrival
	if arriving || known == nil || (b.report != nil && b.report.Usable) || (b.report == nil && !known.fresh(p.now)) {
		return b.info.Pool
	}
	return ""
}
