package cell

import (
	"slices"
	"strings"
	"time"
)

// Times by which a zone that is cut off is told from one that is well.
const (
	// overdueAfter is how long a well endpoint may take to answer an order: it takes
	// some 3 ms, and a loaded node some 50 to take the answer in.
	overdueAfter = 150 * time.Millisecond
	// abandonedAfter is when a call has been given up by who made it for this owner: it
	// tells nothing any more.
	abandonedAfter = 1500 * time.Millisecond
	// cutOffAfter is how long a zone has been in doubt when its boxes are no longer
	// counted on: replacing them costs moves, and a hiccup is over by then.
	cutOffAfter = 300 * time.Millisecond
)

// zone is an availability zone as the owner sees it by the endpoints there.
type zone struct {
	name        string
	byFreeCores freeCoreIndex
	// asSlice holds just this zone.
	asSlice []*zone
	// answeredAt is when one of its endpoints last answered a call.
	answeredAt time.Time
	// unansweredSince is since when calls to its endpoints are overdue and none of them
	// has answered, zero if that is not so: the zone may be cut off.
	unansweredSince time.Time
	// unanswered is the same while the endpoints are gone through.
	unanswered bool
}

// mayBeCutOff says that the zone may be cut off.
func (z *zone) mayBeCutOff() bool {
	return !z.unansweredSince.IsZero()
}

// isCutOff says that the zone has been in doubt for so long that it counts as cut off.
func (z *zone) isCutOff(now time.Time) bool {
	return z.mayBeCutOff() && now.Sub(z.unansweredSince) >= cutOffAfter
}

// ensureZone returns the zone of a name, made known if need be.
func (c *Cell) ensureZone(name string) *zone {
	at, known := slices.BinarySearchFunc(c.zones, name, func(z *zone, name string) int { return strings.Compare(z.name, name) })
	if !known {
		z := &zone{name: name}
		z.asSlice = []*zone{z}
		c.zones = slices.Insert(c.zones, at, z)
	}
	return c.zones[at]
}

// updateZone puts an endpoint where its zone and its free room say.
func (c *Cell) updateZone(e *endpoint) {
	if z := c.ensureZone(e.info.Zone); z != e.zone {
		if e.zone != nil {
			e.zone.byFreeCores.remove(e)
		}
		e.zone = z
	}
	e.zone.byFreeCores.update(e)
}

// addressAnswered takes note that a call at an endpoint has been addressAnswered.
func (c *Cell) addressAnswered(e *endpoint) {
	e.zone.answeredAt = c.now
	e.overdue = false
	if e.zone.mayBeCutOff() {
		e.zone.unansweredSince = time.Time{}
		c.placementDue = true
	}
}

// endpointAnswered takes note that an endpoint has answered a call itself, and not another life at its
// address.
func (c *Cell) endpointAnswered(e *endpoint) {
	c.addressAnswered(e)
	if c.caughtUp() {
		e.lastAnsweredAt = c.now
	}
}

// updateOverdue finds the endpoints that leave calls unanswered, and the zones from
// which nothing comes any more. A look would tell only after its whole time.
func (c *Cell) updateOverdue() {
	for _, z := range c.zones {
		z.unanswered = false
	}
	for _, e := range c.sortedEndpoints {
		since, overdue := e.oldestOverdueCall(c.now, c.options.PollWait)
		e.overdue = overdue
		if overdue && e.zone.answeredAt.Before(since) || e.silent && e.zone.mayBeCutOff() {
			e.zone.unanswered = true
		}
	}
	for _, z := range c.zones {
		switch {
		case !z.unanswered:
			z.unansweredSince = time.Time{}
		case !z.mayBeCutOff():
			z.unansweredSince = c.now
		}
	}
}

// oldestOverdueCall returns when the oldest call was made that the endpoint should have
// answered by now.
func (e *endpoint) oldestOverdueCall(now time.Time, lookWait time.Duration) (time.Time, bool) {
	oldest := now
	if sent := e.polls.immediate; sent != nil && sent.sentAt.Before(oldest) {
		oldest = sent.sentAt
	}
	if sent := e.polls.waiting; sent != nil {
		if at := sent.sentAt.Add(lookWait); at.Before(oldest) {
			oldest = at
		}
	}
	for _, r := range e.runsByStart {
		if r.state == runRequested && r.startedAt.Before(oldest) {
			oldest = r.startedAt
		}
	}
	age := now.Sub(oldest)
	return oldest, age > overdueAfter && age < abandonedAfter
}

// homeZone returns the zone where a task's job has its tasks, as far as there is room:
// whatever happens to a zone or a rack hits fewer jobs then. Lasting tasks are
// spread, so that their job stays at work through the loss of a zone.
func (c *Cell) homeZone(t *task) *zone {
	j := t.phase.job()
	if len(c.zones) < 2 || t.phase.spec.Lasting || t.phase.spec.Rack != "" {
		return nil
	}
	if j.homeZone == nil || j.homeZone.mayBeCutOff() {
		j.homeZone = c.zoneWithMostFreeCores()
	}
	return j.homeZone
}

// zoneWithMostFreeCores returns the zone with the most free cores, nil if there is none.
func (c *Cell) zoneWithMostFreeCores() *zone {
	var best *zone
	most := 0
	for _, z := range c.zones {
		if free := z.byFreeCores.freeCores(); !z.mayBeCutOff() && free > most {
			best, most = z, free
		}
	}
	return best
}
