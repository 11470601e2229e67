package cell

import (
	"damsonwinch/pkg/wire"
)

// reportEvacuatedZones adds to the report what still runs in the evacuated zones, and how long ago it was
// confirmed that there are no others.
func (c *Cell) reportEvacuatedZones(report *wire.SyncReply) {
	if len(c.evacuations.zones) == 0 {
		return
	}
	report.EvacuationsAgeMs = int(c.now.Sub(c.evacuations.confirmedAt).Milliseconds())
	for _, name := range c.evacuations.zones {
		row := wire.ZoneReport{Zone: name}
		for _, e := range c.sortedEndpoints {
			if e.mayBeIn(name) {
				c.addToZoneReport(&row, e)
			}
		}
		report.EvacuatedZones = append(report.EvacuatedZones, row)
	}
}

// addToZoneReport adds an endpoint and its runs to the report on its zone.
func (c *Cell) addToZoneReport(row *wire.ZoneReport, e *endpoint) {
	if !e.exited {
		row.Endpoints++
	}
	if c.mayHaveUnseenRuns(e) {
		row.UnknownEndpoints++
	}
	if !e.exited && (e.isSeen() || e.leases.ExpiredFor(c.now) <= 0) {
		row.StrayRuns += e.strayRuns
	}
	for _, r := range e.runsByStart {
		spec := r.task.phase.spec
		switch {
		case spec.Lasting:
			row.LastingRuns++
			continue
		case spec.Checkpoints:
			row.CheckpointRuns++
		default:
			row.ShortRuns++
		}
		row.EmptyMs = max(row.EmptyMs, c.estimateRemainingMs(r))
	}
}

// mayHaveUnseenRuns reports whether runs may exist on an endpoint that its polls don't show at present. An
// endpoint that has answered this owner refuses older owners and lists all of its runs. One that doesn't answer
// may have runs until the leases there have expired.
func (c *Cell) mayHaveUnseenRuns(e *endpoint) bool {
	return !e.exited && !e.isSeen() && e.leases.ExpiredFor(c.now) <= 0
}

// isSeen reports whether the runs on the endpoint are known from its answers to this owner.
func (e *endpoint) isSeen() bool {
	return e.attached && !e.silent
}

// mayBeIn reports whether an endpoint is in a zone, as far as is known: that of an endpoint that is no longer
// registered and has not answered isn't.
func (e *endpoint) mayBeIn(zone string) bool {
	return e.zone.name == zone || e.zone.name == "" && e.info.Box == ""
}
