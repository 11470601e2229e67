package supply

// cutShare is the part of a zone's reported boxes that must be silent for the zone to
// count as cut off, in percent, and cutBoxes the least number of them: a rack that
// fails is less than that of a zone.
const (
	cutShare = 60
	cutBoxes = 2
)

// findCutZones notes the zones whose boxes the owners of the cells can't reach.
func (p *Planner) findCutZones() {
	silent, reported := map[string]int{}, map[string]int{}
	for _, b := range p.order {
		if b.report == nil {
			continue
		}
		reported[b.info.Zone]++
		silent[b.info.Zone] += boolInt(b.report.Silent)
	}
	p.cutZones = map[string]bool{}
	for zone, count := range silent {
		p.cutZones[zone] = count >= cutBoxes && count*100 >= reported[zone]*cutShare
	}
}
