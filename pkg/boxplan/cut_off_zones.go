package boxplan

// A zone counts as cut off if at least cutOffPercent percent of its reported boxes, and at least
// cutOffMinBoxes of them, are silent. A rack that fails is a smaller part of its zone.
const (
	cutOffPercent  = 60
	cutOffMinBoxes = 2
)

// findCutOffZones finds the zones whose boxes the owners of the cells can't reach.
func (p *Planner) findCutOffZones() {
	silent, reported := map[string]int{}, map[string]int{}
	for _, b := range p.boxesByName {
		if b.report == nil {
			continue
		}
		reported[b.info.Zone]++
		silent[b.info.Zone] += boolInt(b.report.Silent)
	}
	p.cutOffZones = map[string]bool{}
	for zone, count := range silent {
		p.cutOffZones[zone] = count >= cutOffMinBoxes && count*100 >= reported[zone]*cutOffPercent
	}
}
