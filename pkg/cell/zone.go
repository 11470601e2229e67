package cell

import (
	"slices"
	"strings"
	"time"

	"damsonwinch/pkg/cutoff"
	"damsonwinch/pkg/freecores"
)

// zone is an availability zone, as far as the owner can tell from the replies of its endpoints.
type zone struct {
	name        string
	byFreeCores freecores.Index
	// asSlice contains only this zone, as the argument of chooseInZones.
	asSlice []*zone
	// evacuated is set while the operator wants no task to start in the zone.
	evacuated bool
	// evacuatedSince is since when the owner has known of that.
	evacuatedSince time.Time
	// returnedAt is when the owner learned that the newest evacuation had ended, or zero.
	returnedAt time.Time
	// link is what the answers of the zone's endpoints show of the way there.
	link cutoff.Zone
}

// mayBeCutOff reports whether the zone may be cut off from the owner. Nothing is started there then.
func (z *zone) mayBeCutOff() bool {
	return z.link.MayBeCutOff()
}

// isCutOff reports whether the zone has been out of reach for so long that its boxes are no longer
// counted on.
func (z *zone) isCutOff(now time.Time) bool {
	return z.link.IsCutOff(now)
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
			e.zone.byFreeCores.Remove(&e.coreEntry)
		}
		e.zone = z
	}
	e.updateFreeCores()
}

// addressAnswered notes that a call to an endpoint's address has been answered, by this life or
// another.
func (c *Cell) addressAnswered(e *endpoint) {
	e.overdue = false
	if e.zone.link.Answered(c.now) {
		c.placementDue = true
	}
}

// endpointAnswered notes that a call has been answered by this life of the endpoint.
func (c *Cell) endpointAnswered(e *endpoint) {
	c.addressAnswered(e)
	e.aliveAt, e.reportsBefore = c.now, c.lastSync.reportNumber
	if c.pauses.CaughtUp(c.now) {
		e.lastAnsweredAt = c.now
	}
}

// updateOverdue finds the endpoints whose calls are overdue, and the zones that may be cut off. The
// polls that endpoints hold would show that only at the end of their wait.
func (c *Cell) updateOverdue() {
	for _, z := range c.zones {
		z.link.BeginCheck()
	}
	for _, e := range c.sortedEndpoints {
		since := e.oldestUnansweredCall(c.now)
		if e.overdue = cutoff.IsOverdue(c.now, since); e.overdue {
			e.zone.link.AddOverdue(since)
		}
		if e.silent {
			e.zone.link.AddSilent()
		}
	}
	for _, z := range c.zones {
		z.link.EndCheck(c.now)
	}
}

// oldestUnansweredCall returns the earliest time at which the oldest unanswered call to the endpoint could
// have been answered: when the call was sent, or maxWait later for a poll that the endpoint may hold. It
// returns now if there is no such call. Calls that could have been answered before the endpoint last
// answered another one are left out: they got lost, and the endpoint can be reached.
func (e *endpoint) oldestUnansweredCall(now time.Time) time.Time {
	oldest := now
	consider := func(at time.Time) {
		if at.Before(oldest) && at.After(e.lastAnsweredAt) {
			oldest = at
		}
	}
	for _, sent := range append([]*sentPoll{e.polls.immediate, e.polls.waiting}, e.polls.overdue...) {
		if sent != nil {
			consider(sent.sentAt.Add(sent.maxWait))
		}
	}
	for _, r := range e.runsByStart {
		if r.state == runRequested || r.startOverdue {
			consider(r.startedAt)
		}
	}
	return oldest
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

// countFreeCores returns the sum of the free cores of all usable endpoints of the zone, each rounded
// down.
func (z *zone) countFreeCores() int {
	sum := 0
	for cores := 1; cores <= z.byFreeCores.Highest(); cores++ {
		for _, entry := range z.byFreeCores.Bucket(cores) {
			if e := entry.Value.(*endpoint); e.usable() && !e.leavesUnanswered() {
				sum += cores
			}
		}
	}
	return sum
}

// zoneWithMostFreeCores returns the zone with the most free cores, not counting zones that may be
// cut off. It returns nil if no core is free.
func (c *Cell) zoneWithMostFreeCores() *zone {
	var best *zone
	most := 0
	for _, z := range c.zones {
		if free := z.countFreeCores(); !z.mayBeCutOff() && free > most {
			best, most = z, free
		}
	}
	return best
}
