package cell

import (
	"slices"
	"strings"
	"time"
)

// Times by which a zone that is cut off from the owner is distinguished from one that can be
// reached.
const (
	// overdueAfter is how long an endpoint that can be reached may take to answer a request.
	// Usually it takes some 3 ms, and a busy node takes some 50 ms to process the reply.
	overdueAfter = 150 * time.Millisecond
	// abandonedAfter is the age at which a call has timed out on this side. That it has not been
	// answered then says nothing about the endpoint any more.
	abandonedAfter = 1500 * time.Millisecond
	// cutOffAfter is how long a zone may have been out of reach until its boxes are no longer
	// counted on. Replacing them costs moves, and short interruptions are over by then.
	cutOffAfter = 300 * time.Millisecond
)

// zone is an availability zone, as far as the owner can tell from the replies of its endpoints.
type zone struct {
	name        string
	byFreeCores freeCoreIndex
	// asSlice contains only this zone, as the argument of chooseInZones.
	asSlice []*zone
	// evacuated is set while the operator wants no task to start in the zone.
	evacuated bool
	// evacuatedSince is since when the owner has known of that.
	evacuatedSince time.Time
	// returnedAt is when the owner learned that the newest evacuation had ended, or zero.
	returnedAt time.Time
	// answeredAt is when an endpoint of the zone last answered a call.
	answeredAt time.Time
	// unansweredSince is since when calls to the zone's endpoints have been overdue while none of
	// its endpoints has answered, or zero if that isn't so. While it is set, the zone may be cut
	// off.
	unansweredSince time.Time
	// unanswered holds the same condition while updateOverdue goes through the endpoints.
	unanswered bool
}

// mayBeCutOff reports whether the zone may be cut off: calls to it are overdue, and none of its
// endpoints has answered. Nothing is started there then.
func (z *zone) mayBeCutOff() bool {
	return !z.unansweredSince.IsZero()
}

// isCutOff reports whether the zone may have been cut off for cutOffAfter, so that it counts as cut
// off.
func (z *zone) isCutOff(now time.Time) bool {
	return z.mayBeCutOff() && now.Sub(z.unansweredSince) >= cutOffAfter
}

// ensureZone returns the zone with the given name, and adds it if it isn't known yet.
func (c *Cell) ensureZone(name string) *zone {
	i, known := slices.BinarySearchFunc(c.zones, name, func(z *zone, name string) int { return strings.Compare(z.name, name) })
	if !known {
		z := &zone{name: name, evacuated: slices.Contains(c.evacuations.zones, name), evacuatedSince: c.now}
		z.asSlice = []*zone{z}
		c.zones = slices.Insert(c.zones, i, z)
	}
	return c.zones[i]
}

// updateZone assigns an endpoint to the zone that it reports, and updates its place in the zone's
// index of free cores.
func (c *Cell) updateZone(e *endpoint) {
	if z := c.ensureZone(e.info.Zone); z != e.zone {
		if e.zone != nil {
			e.zone.byFreeCores.remove(e)
		}
		e.zone = z
	}
	e.zone.byFreeCores.update(e)
}

// addressAnswered notes that a call to an endpoint's address has been answered, by this life or
// another.
func (c *Cell) addressAnswered(e *endpoint) {
	e.zone.answeredAt = c.now
	e.overdue = false
	if e.zone.mayBeCutOff() {
		e.zone.unansweredSince = time.Time{}
		c.placementDue = true
	}
}

// endpointAnswered notes that a call has been answered by this life of the endpoint.
func (c *Cell) endpointAnswered(e *endpoint) {
	c.addressAnswered(e)
	if c.caughtUp() {
		e.lastAnsweredAt = c.now
	}
}

// updateOverdue finds the endpoints whose calls are overdue, and the zones that may be cut off. The
// polls that endpoints hold would show that only at the end of their wait.
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

// oldestOverdueCall returns the earliest time at which the oldest unanswered call to the endpoint
// could have been answered: when the call was sent, or pollWait later for a poll that the endpoint
// may hold. It also reports whether that call is overdue: it could have been answered more than
// overdueAfter ago, and has not timed out.
func (e *endpoint) oldestOverdueCall(now time.Time, pollWait time.Duration) (time.Time, bool) {
	oldest := now
	if sent := e.polls.immediate; sent != nil && sent.sentAt.Before(oldest) {
		oldest = sent.sentAt
	}
	if sent := e.polls.waiting; sent != nil {
		if at := sent.sentAt.Add(pollWait); at.Before(oldest) {
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

// homeZone returns the zone in which the tasks of t's job are started while there is capacity, so
// that the failure of a zone or rack affects fewer jobs. It returns nil if there is only one zone
// or no core is free, and for tasks that prefer a rack. It also returns nil for long-running tasks:
// they are spread, so that their job survives the loss of a zone.
func (c *Cell) homeZone(t *task) *zone {
	j := t.phase.job()
	if len(c.zones) < 2 || t.phase.spec.Lasting || t.phase.spec.Rack != "" {
		return nil
	}
	if j.homeZone == nil || j.homeZone.mayBeCutOff() || j.homeZone.evacuated {
		j.homeZone = c.zoneWithMostFreeCores()
	}
	return j.homeZone
}

// zoneWithMostFreeCores returns the zone with the most free cores, not counting zones that may be
// cut off. It returns nil if no core is free.
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
