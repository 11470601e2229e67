package cell

// placeGang starts all tasks of a phase together, or none.
func (c *Cell) placeGang(p *phase) {
	if len(p.ready) < p.left {
		// Some members are still ending.
		return
	}
	attempt := 0
	for _, t := range p.tasks {
		attempt = max(attempt, t.attempt)
	}
	chosen := make([]*endpoint, 0, len(p.ready))
	for _, t := range p.ready {
		e := c.choose(t)
		if e == nil {
			break
		}
		chosen = append(chosen, e)
		// Room is held for the time of the choice, so that members don't count on
		// the same.
		e.used = e.used.Plus(p.need())
	}
	for _, e := range chosen {
		e.used = e.used.Minus(p.need())
	}
	if len(chosen) < len(p.ready) {
		return
	}
	members := p.ready
	p.ready = nil
	for at, t := range members {
		t.ready = false
		// All members share the attempt.
		t.attempt = attempt
		c.intend(t, chosen[at])
	}
}
