package cell

import "time"

// maxCapacityAge is the maximum age of an endpoint's reported capacity for starts there, if the
// endpoint itself doesn't refuse tasks that don't fit. Endpoints report every 1.5 s, and a reduced
// capacity takes effect 3 s plus one such interval later.
const maxCapacityAge = 2500 * time.Millisecond

// SetRejectsOverload sets whether the cell's endpoints refuse tasks that don't fit. If they don't,
// starts need a recent report of the endpoint's capacity, since one task too many harms everything
// that runs there.
func (c *Cell) SetRejectsOverload(now time.Time, rejects bool) {
	if c.acceptsOverload != !rejects {
		c.beginEvent(now)
		c.acceptsOverload = !rejects
	}
}

// capacityKnown reports whether an endpoint's reported capacity is recent enough for starts there.
// It always is if the endpoint refuses tasks that don't fit.
func (c *Cell) capacityKnown(e *endpoint) bool {
	return !c.acceptsOverload || c.now.Sub(e.info.SeenAt) <= maxCapacityAge
}

// stillFits reports whether a run for which capacity was reserved earlier still fits on its
// endpoint.
func (c *Cell) stillFits(r *run) bool {
	return c.capacityKnown(r.endpoint) && r.endpoint.strayRuns == 0 && r.endpoint.info.Capacity.Holds(r.endpoint.used)
}
