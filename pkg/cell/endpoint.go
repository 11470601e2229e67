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
	// pollDue says that the cell is to see whether a look is due.
	pollDue bool
	// room is the number of whole free cores by which it stands in the cell's rooms,
	// at the index roomAt, if indexed.
	indexed   bool
	bucket    int
	bucketPos int
	// attached says that it has answered a look under this owner's token: older
	// owners can't order there any more, and all its runs are known.
	attached bool
	// attachedAt is when it first did so.
	attachedAt time.Time
	// exited says that this life has ended for certain.
	exited bool
	// withdrawn says that it gets no more work, since its box is to be moved or
	// maintained.
	withdrawn  bool
	withdrawal withdrawal
	// maintenanceDue says that its box is still to be maintained.
	maintenanceDue bool
	runs           map[damsonwinch.Run]*run
	// runsByStart holds the same runs in the order in which they were started.
	runsByStart []*run
	used        damsonwinch.Resources
	// strayRuns is the number of runs there, by the last look, that belong to nothing that should
	// run: the room that they take until they have ended isn't known.
	strayRuns int
	lastBusy  time.Time
	// clockSampleMs is its clock, in milliseconds, in an answer that came at clockAt.
	clockSampleMs  int
	clockSampledAt time.Time
	// leasesExpireBy is when all that runs there has lapsed for certain, unless the
	// endpoint is heard of before.
	leasesExpireBy time.Time
	polls          polls
	// lapsedAttempts are attempts there of which it isn't known how they ended.
	lapsedAttempts []lapsedAttempt
	// pollWanted asks for a look that doesn't wait.
	pollWanted bool
	// appliedSequence is the highest end that has been taken into the state, and recorded the
	// highest one in the stream.
	appliedSequence  int
	recordedSequence int
	// silent says that the last look was not answered, since silentAt, and broke that it broke
	// off while it waited: whatever ended the endpoint, it was then.
	silent      bool
	silentSince time.Time
	pollBroken  bool
	// silentStep is the step at silentAt.
	silentStep int
	// lastAnsweredAt is when it last answered a call.
	lastAnsweredAt time.Time
	// probation is the run that is on probation there, and promised the task that is to be started on
	// probation there next: no other starts meanwhile.
	probation   *run
	reservedFor *task
	// overdue says that it has left a call unanswered for longer than usual.
	overdue      bool
	backoffUntil time.Time
	health       health
	// speedChangedAt is when the speed of a task there was last changed, and calmSince
	// since when what serves there is far from its target.
	speedChangedAt time.Time
	lowTailSince   time.Time
}

// usable says whether new work may be ordered there.
func (e *endpoint) usable() bool {
	return e.listed && e.attached && !e.exited && !e.withdrawn && !e.withdrawal.requested && !e.silent && !e.info.Draining
}

// free returns the room that is left.
func (e *endpoint) free() damsonwinch.Resources {
	return e.info.Capacity.Minus(e.used)
}

// estimateClock returns the endpoint's estimateClock as it should be now, in milliseconds.
func (e *endpoint) estimateClock(now time.Time) int {
	return e.clockSampleMs + int(now.Sub(e.clockSampledAt).Milliseconds())
}

// hasLabel says whether a task that asks for a label may run there.
func (e *endpoint) hasLabel(label string) bool {
	return label == "" || slices.Contains(e.info.Labels, label)
}

// sortedRuns returns the runs in an order that doesn't depend on the map's. The
// slice stays as it is when runs come and go.
func (e *endpoint) sortedRuns() []*run {
	return slices.Clone(e.runsByStart)
}

// ensureEndpoint returns the endpoint of a life, made known if need be.
func (c *Cell) ensureEndpoint(life damsonwinch.Life) *endpoint {
	if known := c.endpoints[life]; known != nil {
		return known
	}
	e := &endpoint{info: damsonwinch.Endpoint{Life: life}, runs: map[damsonwinch.Run]*run{}, lastBusy: c.now}
	// An older owner may have prolonged leases until it noticed that it was one.
	e.leasesExpireBy = c.now.Add(c.options.RenewalGrace + withClockSlack(c.options.MaxLease))
	c.endpoints[life] = e
	c.updateZone(e)
	c.sortedEndpoints = slices.Insert(c.sortedEndpoints, c.indexOfLife(life), e)
	return e
}

func withClockSlack(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * clockDriftFactor)
}

// leaseMargin is added to every bound of a lease, for rounding and scheduling.
const leaseMargin = 200 * time.Millisecond

// extendLeaseBound notes that an order may keep runs alive until a moment of the
// endpoint's clock.
func (c *Cell) extendLeaseBound(e *endpoint, until int) {
	left := time.Duration(until-e.clockSampleMs) * time.Millisecond
	bound := e.clockSampledAt.Add(withClockSlack(left) + leaseMargin)
	if bound.After(e.leasesExpireBy) {
		e.leasesExpireBy = bound
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
		e := c.ensureEndpoint(info.Life)
		if info.Draining && !e.info.Draining {
			c.logEndpoint("endpoint drains", e, "")
		}
		if !e.listed && !e.exited {
			c.logEndpoint("endpoint listed", e, "box "+info.Box+" at "+info.Address)
		}
		e.info, e.listed = info, true
		c.updateZone(e)
	}
	for _, e := range c.sortedEndpoints {
		if e.listed && !present[e.info.Life] {
			e.listed = false
			c.logEndpoint("endpoint unlisted", e, "")
		}
	}
	c.sweepEndpoints()
}

// lapsedResultWait is how long an endpoint whose entry has gone may come back and tell how attempts
// there have ended, once their leases have run out. The users' cuts last up to 14 s.
const lapsedResultWait = 15 * time.Second

// sweepEndpoints forgets endpoints that are neither listed nor hold a run.
func (c *Cell) sweepEndpoints() {
	c.sortedEndpoints = slices.DeleteFunc(c.sortedEndpoints, func(e *endpoint) bool {
		if e.listed || len(e.runs) > 0 || len(e.lapsedAttempts) > 0 && !e.exited && c.now.Before(e.leasesExpireBy.Add(lapsedResultWait)) {
			return false
		}
		c.forgetLapsed(e)
		delete(c.endpoints, e.info.Life)
		e.zone.byFreeCores.remove(e)
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
		if !alive[e.info.Life.ID] && !e.exited && (e.silent || !e.attached) && len(e.runs) > 0 {
			c.markLostByReport(e, "the platform's list of boxes does not have it")
		}
	}
	c.sweepEndpoints()
}

// requestBoxList asks for the platform's list of boxes while tasks may run on endpoints that
// can't be asked: the registry has dropped their entries, perhaps because they ended.
func (c *Cell) requestBoxList() {
	for _, e := range c.sortedEndpoints {
		if len(e.runs) > 0 && !e.exited && !e.attached && e.info.Address == "" {
			c.effects.ListBoxes = true
			return
		}
	}
}

// expireLeases takes back runs on endpoints out of reach once their leases must
// have run out.
func (c *Cell) expireLeases() {
	for _, e := range c.sortedEndpoints {
		if len(e.runs) == 0 || !e.exited && e.attached && !e.silent || !c.now.After(e.leasesExpireBy) {
			continue
		}
		if e.exited {
			c.dropKeptRuns(e)
			continue
		}
		c.logEndpoint("leases lapsed", e, "out of reach")
		for _, r := range e.sortedRuns() {
			if r.state != runPending {
				c.markLapsed(r)
			}
		}
	}
}
