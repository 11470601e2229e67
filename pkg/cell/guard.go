package cell

import "time"

// entryTime is how old what an endpoint said of its room may be for starts there, where the
// endpoint itself doesn't refuse what doesn't fit: it says so each 1.5 s, and a room that has
// shrunk counts 3 s and one such time later.
const entryTime = 2500 * time.Millisecond

// SetGuarded says whether the cell's endpoints refuse what doesn't fit. Where they don't, what
// is known of their room must be new: a task too many harms all that run there.
func (c *Cell) SetGuarded(now time.Time, guarded bool) {
	if c.noCapacityCheck != !guarded {
		c.beginEvent(now)
		c.noCapacityCheck = !guarded
	}
}

// roomKnown says whether what is known of an endpoint's room is new enough for starts there.
func (c *Cell) roomKnown(e *endpoint) bool {
	return !c.noCapacityCheck || c.now.Sub(e.info.SeenAt) <= entryTime
}

// stillFits says whether a run that was given room some time ago may be ordered now.
func (c *Cell) stillFits(r *run) bool {
	return c.roomKnown(r.at) && r.at.strays == 0 && r.at.info.Capacity.Holds(r.at.used)
}
