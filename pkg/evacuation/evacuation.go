// Package evacuation tracks what still runs in the availability zones that the operator has evacuated, and
// decides whether a zone is clear, so that it may be switched off. It does no I/O and reads no clock. Its
// inputs are the zones, the cells, the reports of the cells' owners and the numbers of boxes.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damsonwinch/pkg/wire"
)

const (
	// reportLifetime is how long a report is used. Owners report ten times a second.
	reportLifetime = 2 * time.Second
	// changeInterval is the time between two results of Changes for a zone.
	changeInterval = time.Second
)

// Cell is a cell whose owner may start tasks.
type Cell struct {
	Name string
	Pool string
}

// Tracker holds what is known of the evacuated zones.
type Tracker struct {
	// bound is the longest time after an evacuation for which an owner that doesn't know of it may
	// start tasks in the zone.
	bound time.Duration
	cells []Cell
	zones map[string]*zone
	// reports are the newest reports by the name of the cell.
	reports map[string]report
	// boxes are the numbers of boxes that are not powered off, by zone and cell; nil while they aren't
	// known.
	boxes map[string]map[string]int
}

// zone is an evacuated zone.
type zone struct {
	since time.Time
	// inEffectSince is since when all owners have confirmed the evacuation, and clearSince since when the
	// zone has been clear; zero if that isn't so.
	inEffectSince time.Time
	clearSince    time.Time
	// status is the result of the newest call of Update. changed says that it differs from the one
	// that Changes returned last, at changedAt.
	status    Status
	changed   bool
	changedAt time.Time
}

// report is the part of a report that concerns evacuations.
type report struct {
	receivedAt time.Time
	// confirmedAt is when the store confirmed to the owner's node that no other zones were evacuated.
	// It is on this node's clock, and too early by the time that the report took to arrive at most.
	confirmedAt time.Time
	zones       []wire.ZoneReport
}

// New returns a Tracker without zones and cells. bound is the longest time after an evacuation for which an
// owner that doesn't know of it may start tasks in the zone.
func New(bound time.Duration) *Tracker {
	return &Tracker{bound: bound, zones: map[string]*zone{}, reports: map[string]report{}}
}

// SetZones sets the evacuated zones and since when this node has known of each evacuation.
func (t *Tracker) SetZones(since map[string]time.Time) {
	for name := range t.zones {
		if _, evacuated := since[name]; !evacuated {
			delete(t.zones, name)
		}
	}
	for name, at := range since {
		if z := t.zones[name]; z == nil || !z.since.Equal(at) {
			t.zones[name] = &zone{since: at}
		}
	}
}

// SetCells sets the cells whose owners may start tasks.
func (t *Tracker) SetCells(cells []Cell) {
	t.cells = slices.SortedFunc(slices.Values(cells), func(a, b Cell) int { return cmp.Compare(a.Name, b.Name) })
	present := make(map[string]bool, len(cells))
	for _, c := range cells {
		present[c.Name] = true
	}
	maps.DeleteFunc(t.reports, func(name string, _ report) bool { return !present[name] })
}

// SetReport stores the report of a cell's owner, received at now. A reply of a node that doesn't own the
// cell is no report.
func (t *Tracker) SetReport(now time.Time, cell string, reply wire.SyncReply) {
	if !reply.Known {
		return
	}
	age := time.Duration(reply.EvacuationsAgeMs) * time.Millisecond
	t.reports[cell] = report{receivedAt: now, confirmedAt: now.Add(-age), zones: reply.EvacuatedZones}
}

// SetBoxes sets the numbers of boxes that are not powered off, by evacuated zone and by the name of the
// cell to which they belong.
func (t *Tracker) SetBoxes(boxes map[string]map[string]int) {
	t.boxes = boxes
}

// Update computes the state of each evacuated zone at now.
func (t *Tracker) Update(now time.Time) {
	for name, z := range t.zones {
		status := t.status(now, name, z)
		z.changed = z.changed || z.changedAt.IsZero() || status.differsFrom(z.status)
		z.status = status
	}
}

// Zones returns the state of each evacuated zone at the newest call of Update, in order of their names.
func (t *Tracker) Zones() []Status {
	statuses := make([]Status, 0, len(t.zones))
	for _, name := range slices.Sorted(maps.Keys(t.zones)) {
		statuses = append(statuses, t.zones[name].status)
	}
	return statuses
}

// Changes returns the states of the zones that have changed since they were last returned, each zone at most
// once in changeInterval.
func (t *Tracker) Changes(now time.Time) []Status {
	var changes []Status
	for _, name := range slices.Sorted(maps.Keys(t.zones)) {
		z := t.zones[name]
		if z.changed && now.Sub(z.changedAt) >= changeInterval {
			z.changed, z.changedAt = false, now
			changes = append(changes, z.status)
		}
	}
	return changes
}

// status returns the state of a zone at now, and updates since when its evacuation has been in effect and
// since when it has been clear.
func (t *Tracker) status(now time.Time, name string, z *zone) Status {
	status := Status{Zone: name, At: now, Since: z.since}
	pools := map[string]*PoolStatus{}
	inEffect := len(t.cells) > 0
	for _, c := range t.cells {
		pool := pools[c.Pool]
		if pool == nil {
			pool = &PoolStatus{Pool: c.Pool}
			pools[c.Pool] = pool
		}
		boxes := t.boxes[name][c.Name]
		pool.Boxes += boxes
		latest, reported := t.reports[c.Name]
		row, confirmed := latest.zone(name)
		isFresh := reported && now.Sub(latest.receivedAt) <= reportLifetime
		// A confirmation from before the request may belong to an earlier evacuation of the zone, whose end
		// the owner doesn't know.
		confirmed = confirmed && latest.confirmedAt.After(z.since)
		pool.add(row)
		if confirmed {
			status.addConfirmation(c.Name, now.Sub(latest.confirmedAt))
		} else {
			status.Unconfirmed = append(status.Unconfirmed, c.Name)
		}
		// A report that is missing for a while doesn't mean that the evacuation is no longer in effect.
		inEffect = inEffect && confirmed
		if hasEndpoints := boxes > 0 || row.Endpoints > 0 || row.UnknownEndpoints > 0; hasEndpoints && !confirmed {
			status.blocking = append(status.blocking, c.Name)
		} else if hasEndpoints && !isFresh {
			status.unreported = append(status.unreported, c.Name)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if *pools[pool] != (PoolStatus{Pool: pool}) {
			status.Pools = append(status.Pools, *pools[pool])
		}
	}
	status.findDelays(t.boxes != nil && len(t.cells) > 0, t.bound)
	status.InEffectSince = updateSince(&z.inEffectSince, inEffect, now)
	status.ClearSince = updateSince(&z.clearSince, len(status.Delays) == 0, now)
	return status
}

// zone returns what the report says on a zone, and whether the owner knows of the zone's evacuation.
func (r report) zone(name string) (wire.ZoneReport, bool) {
	for _, row := range r.zones {
		if row.Zone == name {
			return row, true
		}
	}
	return wire.ZoneReport{}, false
}

// updateSince sets since to now if the condition begins to hold and to zero if it doesn't hold, and returns
// it.
func updateSince(since *time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
	return *since
}
