package boxplan

// SetEvacuatedZones sets the availability zones in which the operator wants no task to start. Their boxes
// serve no cell and are moved to none, but they may be powered off and maintained.
func (p *Planner) SetEvacuatedZones(zones []string) {
	p.evacuatedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		p.evacuatedZones[zone] = true
	}
}

// cancelMovesInEvacuatedZones drops the planned moves of boxes in evacuated zones to other cells. Their
// endpoints are restored, so that they can be used at once when the zone is taken back.
func (p *Planner) cancelMovesInEvacuatedZones() {
	if len(p.evacuatedZones) == 0 {
		return
	}
	for _, b := range p.boxesByName {
		if p.isEvacuated(b) && b.planned != nil && b.planned.wave == 0 && !p.isPoweredOff(b.planned.pool) {
			b.planned = nil
		}
	}
}

// isEvacuated reports whether a box is in an evacuated zone.
func (p *Planner) isEvacuated(b *box) bool {
	return p.evacuatedZones[b.info.Zone]
}
