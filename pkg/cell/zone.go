package cell

import (
	"slices"
	"strings"
	"time"
)

// Times by which a zone that is cut off is told from one that is well.
const (
	// overdueTime is how long a well endpoint may take to answer an order: it takes
	// some 3 ms, and a loaded node some 50 to take the answer in.
	overdueTime = 150 * time.Millisecond
	// givenUpTime is when a call has been given up by who made it for this owner: it
	// tells nothing any more.
	givenUpTime = 1500 * time.Millisecond
	// cutTime is how long a zone has been in doubt when its boxes are no longer
	// counted on: replacing them costs moves, and a hiccup is over by then.
	cutTime = 300 * time.Millisecond
)

// zone is an availability zone as the owner sees it by the endpoints there.
type zone struct {
	name  string
	rooms rooms
	// alone holds just this zone.
	alone []*zone
	// answeredAt is when one of its endpoints last answered a call.
	answeredAt time.Time
	// doubtSince is since when calls to its endpoints are overdue and none of them
	// has answered, zero if that is not so: the zone may be cut off.
	doubtSince time.Time
	// doubted is the same while the endpoints are gone through.
	doubted bool
}

// mayBeCutOff says that the zone may be cut off.
func (z *zone) mayBeCutOff() bool {
	return !z.doubtSince.IsZero()
}

// isCutOff says that the zone has been in doubt for so long that it counts as cut off.
func (z *zone) isCutOff(now time.Time) bool {
	return z.mayBeCutOff() && now.Sub(z.doubtSince) >= cutTime
}

// zoneOf returns the zone of a name, made known if need be.
func (c *Cell) zoneOf(name string) *zone {
	at, known := slices.BinarySearchFunc(c.zones, name, func(z *zone, name string) int { return strings.Compare(z.name, name) })
	if !known {
		z := &zone{name: name}
		z.alone = []*zone{z}
		c.zones = slices.Insert(c.zones, at, z)
	}
	return c.zones[at]
}

// settleIn puts an endpoint where its zone and its free room say.
func (c *Cell) settleIn(e *endpoint) {
	if z := c.zoneOf(e.info.Zone); z != e.zone {
		if e.zone != nil {
			e.zone.rooms.drop(e)
		}
		e.zone = z
	}
	e.zone.rooms.put(e)
}

// answered takes note that a call at an endpoint has been answered.
func (c *Cell) answered(e *endpoint) {
	e.zone.answeredAt = c.now
	e.overdue = false
	if e.zone.mayBeCutOff() {
		e.zone.doubtSince = time.Time{}
		c.unplaced = true
	}
}

// heard takes note that an endpoint has answered a call itself, and not another life at its
// address.
func (c *Cell) heard(e *endpoint) {
	c.answered(e)
	if c.awake() {
		e.lastAnsweredAt = c.now
	}
}

// updateOverdue finds the endpoints that leave calls unanswered, and the zones from
// which nothing comes any more. A look would tell only after its whole time.
func (c *Cell) updateOverdue() {
	for _, z := range c.zones {
		z.doubted = false
	}
	for _, e := range c.ranked {
		since, overdue := e.overdueSince(c.now, c.options.PollWait)
		e.overdue = overdue
		if overdue && e.zone.answeredAt.Before(since) || e.silent && e.zone.mayBeCutOff() {
			e.zone.doubted = true
		}
	}
	for _, z := range c.zones {
		switch {
		case !z.doubted:
			z.doubtSince = time.Time{}
		case !z.mayBeCutOff():
			z.doubtSince = c.now
		}
	}
}

// overdueSince returns when the oldest call was made that the endpoint should have
// answered by now.
func (e *endpoint) overdueSince(now time.Time, lookWait time.Duration) (time.Time, bool) {
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
	return oldest, age > overdueTime && age < givenUpTime
}

// home returns the zone where a task's job has its tasks, as far as there is room:
// whatever happens to a zone or a rack hits fewer jobs then. Lasting tasks are
// spread, so that their job stays at work through the loss of a zone.
func (c *Cell) home(t *task) *zone {
	j := t.phase.job()
	if len(c.zones) < 2 || t.phase.spec.Lasting || t.phase.spec.Rack != "" {
		return nil
	}
	if j.home == nil || j.home.mayBeCutOff() {
		j.home = c.roomiest()
	}
	return j.home
}

// roomiest returns the zone with the most free cores, nil if there is none.
func (c *Cell) roomiest() *zone {
	var best *zone
	most := 0
	for _, z := range c.zones {
		if free := z.rooms.freeCPU(); !z.mayBeCutOff() && free > most {
			best, most = z, free
		}
	}
	return best
}
