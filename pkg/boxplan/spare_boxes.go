package boxplan

// spareBoxes holds the boxes that a call of Plan can give to any cell. They are found once in a call: a
// search over all of them for each box that a cell gets would grow with the square of the fleet.
type spareBoxes struct {
	// poweredOff holds the powered-off boxes by group, and the groups in poweredOffGroups, both in the
	// order of cells and names.
	poweredOff       map[poweredOffGroup][]poweredOffBox
	poweredOffGroups []poweredOffGroup
	poweredOffCount  int
	// poweringOff holds the boxes that are being withdrawn to be powered off.
	poweringOff []*box
}

// poweredOffGroup identifies powered-off boxes that suit a cell equally well.
type poweredOffGroup struct {
	zone string
	// due says that the boxes are due for maintenance.
	due bool
}

// poweredOffBox is a powered-off box and its place in the order of all of them.
type poweredOffBox struct {
	*box
	place int
}

// findSpareBoxes returns the spare boxes, which it finds upon the first call in a call of Plan.
func (p *Planner) findSpareBoxes() *spareBoxes {
	if p.spareBoxes != nil {
		return p.spareBoxes
	}
	p.spareBoxes = &spareBoxes{poweredOff: map[poweredOffGroup][]poweredOffBox{}}
	for _, name := range p.cellNames {
		for _, b := range p.boxesByCell[name] {
			p.boxesExamined++
			switch {
			case p.cells[name].poweredOff && p.isAvailable(b) && !p.isEvacuated(b):
				p.spareBoxes.addPoweredOff(b, p.dueWave(b) != nil)
			case p.isBeingPoweredOff(b):
				p.spareBoxes.poweringOff = append(p.spareBoxes.poweringOff, b)
			}
		}
	}
	return p.spareBoxes
}

// addPoweredOff adds a powered-off box, which may be due for maintenance.
func (s *spareBoxes) addPoweredOff(b *box, due bool) {
	group := poweredOffGroup{zone: b.info.Zone, due: due}
	if s.poweredOff[group] == nil {
		s.poweredOffGroups = append(s.poweredOffGroups, group)
	}
	s.poweredOff[group] = append(s.poweredOff[group], poweredOffBox{box: b, place: s.poweredOffCount})
	s.poweredOffCount++
}

// boxesBeingPoweredOff returns the boxes that were being withdrawn to be powered off when the spare boxes
// were found. Some may be kept by now.
func (p *Planner) boxesBeingPoweredOff() []*box {
	return p.findSpareBoxes().poweringOff
}

// bestPoweredOffBox returns the powered-off box, of any shard, that suits a cell best; nil if there is none.
func (p *Planner) bestPoweredOffBox(cellName string) *box {
	spare := p.findSpareBoxes()
	var best poweredOffBox
	bestCost := 0
	for _, group := range spare.poweredOffGroups {
		// A box that is due for maintenance is chosen late: its maintenance costs nothing while it is
		// powered off. A box in a zone that is cut off would be of no use.
		cost := p.zoneBoxCount(cellName, group.zone)*2 + boolInt(group.due) + boolInt(p.cutOffZones[group.zone])*cutOffZoneCost
		b, found := p.firstAvailable(spare, group, p.cells[cellName].pool)
		if found && (best.box == nil || cost < bestCost || cost == bestCost && b.place < best.place) {
			best, bestCost = b, cost
		}
	}
	return best.box
}

// firstAvailable returns the first box of a group that is still available and may be moved to a pool. It
// drops the boxes at the start of the group that are not available any more.
func (p *Planner) firstAvailable(spare *spareBoxes, group poweredOffGroup, pool string) (poweredOffBox, bool) {
	boxes := spare.poweredOff[group]
	for len(boxes) > 0 && !p.isAvailable(boxes[0].box) {
		p.boxesExamined++
		boxes = boxes[1:]
	}
	spare.poweredOff[group] = boxes
	for _, b := range boxes {
		p.boxesExamined++
		if p.isAvailable(b.box) && !b.refusedPools[pool] {
			return b, true
		}
	}
	return poweredOffBox{}, false
}
