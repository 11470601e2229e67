package planner

import (
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/evacuation"
)

// setEvacuatedZones sets since when each zone has been evacuated.
func (p *Planner) setEvacuatedZones(since map[string]time.Time) {
	p.boxPlan.SetEvacuatedZones(since)
	p.evacuations.SetZones(since)
}

// workingCells returns the cells of the pools whose boxes are powered on.
func (p *Planner) workingCells() []evacuation.Cell {
	var cells []evacuation.Cell
	for _, pool := range p.pools {
		if pool.PoweredOff {
			continue
		}
		for _, name := range p.layout.CellNames(pool.Name) {
			cells = append(cells, evacuation.Cell{Name: name, Pool: pool.Name})
		}
	}
	return cells
}

// trackEvacuations updates what still runs in the evacuated zones, and shows it as gauges and, where it has
// changed, as log lines.
func (p *Planner) trackEvacuations(now time.Time) {
	p.evacuations.SetBoxes(p.boxPlan.BoxesInEvacuatedZones())
	p.evacuations.Update(now)
	p.setEvacuationGauges(p.evacuations.Zones())
	for _, status := range p.evacuations.Changes(now) {
		p.logEvacuation(status)
	}
}

// setEvacuationGauges shows the states of all evacuated zones as gauges. A planner that stops sets them to 0, since
// its node knows nothing of the zones from then on.
func (p *Planner) setEvacuationGauges(statuses []evacuation.Status) {
	clear, unconfirmed, runs, unknown, boxes := 0, 0, 0, 0, 0
	for _, status := range statuses {
		if status.Clear() {
			clear++
		}
		unconfirmed += len(status.Unconfirmed)
		runs += status.Runs()
		unknown += status.UnknownEndpoints()
		boxes += status.Boxes()
	}
	p.deps.Metrics.SetGauge("evacuated_zones_clear", clear)
	p.deps.Metrics.SetGauge("evacuations_unconfirmed", unconfirmed)
	p.deps.Metrics.SetGauge("evacuated_runs", runs)
	p.deps.Metrics.SetGauge("evacuated_endpoints_unknown", unknown)
	p.deps.Metrics.SetGauge("evacuated_boxes", boxes)
}

// logEvacuation logs the state of an evacuated zone.
func (p *Planner) logEvacuation(status evacuation.Status) {
	p.deps.Logger.WithFields(logrus.Fields{
		"zone": status.Zone, "clear": status.Clear(), "runs": status.Runs(), "unconfirmed": len(status.Unconfirmed), "boxes": status.Boxes(), "explain": status.Explain(),
	}).Info("state of an evacuation")
}
