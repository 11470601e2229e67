package cell

import (
	"slices"
	"time"

	"damsonwinch"
)

// endpoint is a life of the program that runs tasks, as the owner knows it.
type endpoint struct {
	info damsonwinch.Endpoint
	zone *zone
	// listed says that the registry has its entry now.
	listed bool
	// lookDue says that the cell is to see whether a look is due.
	lookDue bool
	// room is the number of whole free cores by which it stands in the cell's rooms,
	// at the index roomAt, if roomed.
	roomed bool
	room   int
	roomAt int
	// attached says that it has answered a look under this owner's token: older
	// owners can't order there any more, and all its runs are known.
	attached bool
	// attachedAt is when it first did so.
	attachedAt time.Time
	// gone says that this life has ended for certain.
	gone bool
	// withdrawn says that it gets no more work, since its box is to be moved or
	// maintained.
	withdrawn bool
	withdraw  withdrawal
	// due says that its box is still to be maintained.
	due  bool
	runs map[damsonwinch.Run]*run
	// ordered holds the same runs in the order in which they were started.
	ordered []*run
	used    damsonwinch.Resources
	// strays is the number of runs there, by the last look, that belong to nothing that should
	// run: the room that they take until they have ended isn't known.
	strays   int
	lastBusy time.Time
	// clockSample is its clock, in milliseconds, in an answer that came at clockAt.
	clockSample int
	clockAt     time.Time
	// leaseBound is when all that runs there has lapsed for certain, unless the
	// endpoint is heard of before.
	leaseBound time.Time
	looks      looks
	// lapses are attempts there of which it isn't known how they ended.
	lapses []lapse
	// wantLook asks for a look that doesn't wait.
	wantLook bool
	// seen is the highest end that has been taken into the state, and recorded the
	// highest one in the stream.
	seen     int
	recorded int
	// silent says that the last look was not answered, since silentAt, and broke that it broke
	// off while it waited: whatever ended the endpoint, it was then.
	silent   bool
	silentAt time.Time
	broke    bool
	// silentStep is the step at silentAt.
	silentStep int
	// heardAt is when it last answered a call.
	heardAt time.Time
	// trial is the run that is on trial there, and promised the task that is to be started on
	// trial there next: no other starts meanwhile.
	trial    *run
	promised *task
	// overdue says that it has left a call unanswered for longer than usual.
	overdue    bool
	pauseUntil time.Time
	health     health
	// pacedAt is when the speed of a task there was last changed, and calmSince
	// since when what serves there is far from its target.
	pacedAt   time.Time
	calmSince time.Time
}

// usable says whether new work may be ordered there.
func (e *endpoint) usable() bool {
	return e.listed && e.attached && !e.gone && !e.withdrawn && !e.withdraw.requested && !e.silent && !e.info.Draining
}

// free returns the room that is left.
func (e *endpoint) free() damsonwinch.Resources {
	return e.info.Capacity.Minus(e.used)
}

// clock returns the endpoint's clock as it should be now, in milliseconds.
func (e *endpoint) clock(now time.Time) int {
	return e.clockSample + int(now.Sub(e.clockAt).Milliseconds())
}

// hasLabel says whether a task that asks for a label may run there.
func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.info.Labels, label)
}

// sortedRuns returns the runs in an order that doesn't depend on the map's. The
// slice stays as it is when runs come and go.
func (e *endpoint) sortedRuns() []*run {
	return slices.Clone(e.ordered)
}

// endpointOf returns the endpoint of a life, made known if need be.
func (c *Cell) endpointOf(life damsonwinch.Life) *endpoint {
	if known := c.endpoints[life]; known != nil {
		return known
	}
	e := &endpoint{info: damsonwinch.Endpoint{Life: life}, runs: map[damsonwinch.Run]*run{}, lastBusy: c.now}
	// An older owner may have prolonged leases until it noticed that it was one.
	e.leaseBound = c.now.Add(c.options.RenewalGrace + slack(c.options.MaxLease))
	c.endpoints[life] = e
	c.settleIn(e)
	c.sortedEndpoints = slices.Insert(c.sortedEndpoints, c.rankOf(life), e)
	return e
}

func slack(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * clockDriftFactor)
}

// leaseMargin is added to every bound of a lease, for rounding and scheduling.
const leaseMargin = 200 * time.Millisecond

// prolong notes that an order may keep runs alive until a moment of the
// endpoint's clock.
func (c *Cell) prolong(e *endpoint, until int) {
	left := time.Duration(until-e.clockSample) * time.Millisecond
	bound := e.clockAt.Add(slack(left) + leaseMargin)
	if bound.After(e.leaseBound) {
		e.leaseBound = bound
	}
}

// SetEndpoints takes the cell's endpoints as the registry has them now.
func (c *Cell) SetEndpoints(now time.Time, listed []damsonwinch.Endpoint) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	present := make(map[damsonwinch.Life]bool, len(listed))
	for _, info := range listed {
		present[info.Life] = true
		e := c.endpointOf(info.Life)
		if info.Draining && !e.info.Draining {
			c.logEndpoint("endpoint drains", e, "")
		}
		if !e.listed && !e.gone {
			c.logEndpoint("endpoint listed", e, "box "+info.Box+" at "+info.Address)
		}
		e.info, e.listed = info, true
		c.settleIn(e)
	}
	for _, e := range c.sortedEndpoints {
		if e.listed && !present[e.info.Life] {
			e.listed = false
			c.logEndpoint("endpoint unlisted", e, "")
		}
	}
	c.sweepEndpoints()
}

// lapseTime is how long an endpoint whose entry has gone may come back and tell how attempts
// there have ended, once their leases have run out. The users' cuts last up to 14 s.
const lapseTime = 15 * time.Second

// sweepEndpoints forgets endpoints that are neither listed nor hold a run.
func (c *Cell) sweepEndpoints() {
	c.sortedEndpoints = slices.DeleteFunc(c.sortedEndpoints, func(e *endpoint) bool {
		if e.listed || len(e.runs) > 0 || len(e.lapses) > 0 && !e.gone && c.now.Before(e.leaseBound.Add(lapseTime)) {
			return false
		}
		c.forgetLapses(e)
		delete(c.endpoints, e.info.Life)
		e.zone.rooms.drop(e)
		c.deleteEndpointRecord(e)
		return true
	})
}

// SetBoxes takes the platform's list of boxes, which tells lives that have ended
// from those that are only out of reach.
func (c *Cell) SetBoxes(now time.Time, boxes []damsonwinch.Box) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	alive := make(map[string]bool, len(boxes))
	for _, box := range boxes {
		if box.State == damsonwinch.BoxUp {
			alive[box.EndpointID] = true
		}
	}
	for _, e := range slices.Clone(c.sortedEndpoints) {
		// An endpoint that was listed only after the boxes were asked for is not
		// missing: it must have been silent before.
		if !alive[e.info.Life.ID] && !e.gone && (e.silent || !e.attached) && len(e.runs) > 0 {
			c.loseUnheard(e, "the platform's list of boxes does not have it")
		}
	}
	c.sweepEndpoints()
}

// seekMissing asks for the platform's list of boxes while tasks may run on endpoints that
// can't be asked: the registry has dropped their entries, perhaps because they ended.
func (c *Cell) seekMissing() {
	for _, e := range c.sortedEndpoints {
		if len(e.runs) > 0 && !e.gone && !e.attached && e.info.Address == "" {
			c.effects.ListBoxes = true
			return
		}
	}
}

// expireLeases takes back runs on endpoints out of reach once their leases must
// have run out.
func (c *Cell) expireLeases() {
	for _, e := range c.sortedEndpoints {
		if len(e.runs) == 0 || !e.gone && e.attached && !e.silent || !c.now.After(e.leaseBound) {
			continue
		}
		if e.gone {
			c.freeKept(e)
			continue
		}
		c.logEndpoint("leases lapsed", e, "out of reach")
		for _, r := range e.sortedRuns() {
			if r.state != runIntended {
				c.lapsed(r)
			}
		}
	}
}
