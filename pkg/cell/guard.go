package cell

import "time"

// maxCapacityAge is how old what an endpoint said of its room may be for starts there, where the
// endpoint itself doesn't refuse what doesn't fit: it says so each 1.5 s, and a room that has
// shrunk counts 3 s and one such time later.
const maxCapacityAge = 2500 * time.Millisecond

// SetRejectsOverload says whether the cell's endpoints refuse what doesn't fit. Where they don't, what
// is known of their room must be new: a task too many harms all that run there.
func (c *Cell) SetRejectsOverload(now time.Time, guarded bool) {
	if c.acceptsOverload != !guarded {
		c.beginEvent(now)
		c.acceptsOverload = !guarded
	}
}

// capacityKnown says whether what is known of an endpoint's room is new enough for starts there.
func (c *Cell) capacityKnown(e *endpoint) bool {
	return !c.acceptsOverload || c.now.Sub(e.info.SeenAt) <= maxCapacityAge
}

// stillFits says whether a run that was given room some time ago may be ordered now.
func (c *Cell) stillFits(r *run) bool {
	return c.capacityKnown(r.endpoint) && r.endpoint.strayRuns == 0 && r.endpoint.info.Capacity.Holds(r.endpoint.used)
}
