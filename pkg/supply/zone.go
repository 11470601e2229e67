package supply

// cutOffPercent is the part of a zone's reported boxes that must be silent for the zone to
// count as cut off, in percent, and cutOffMinBoxes the least number of them: a rack that
// fails is less than that of a zone.
const (
	cutOffPercent  = 60
	cutOffMinBoxes = 2
)

// findCutOffZones notes the zones whose boxes the owners of the cells can't reach.
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
