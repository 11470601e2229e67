package cell

import (
	"fmt"
	"slices"
	"time"
)

// evacuations holds the operator's requests that no task start in some availability zones. A task
// that runs there when its zone is evacuated is not killed: a long-running task, or one with a
// checkpoint, is moved once another zone can take it, and all others run to their end.
type evacuations struct {
	// zones are the evacuated zones, also those in which the cell has no endpoint.
	zones []string
	// confirmedAt is when all requests of the operator were last known, or zero.
	confirmedAt time.Time
}

// SetEvacuations sets the availability zones in which the operator wants no task to start.
// confirmedAt is a time at which no others were evacuated.
func (c *Cell) SetEvacuations(now time.Time, zones []string, confirmedAt time.Time) {
	c.beginEvent(now)
	defer c.finishEvent()
	if !c.evacuationsKnown() {
		c.placementDue = true
	}
	if confirmedAt.After(c.evacuations.confirmedAt) {
		c.evacuations.confirmedAt = confirmedAt
	}
	if slices.Equal(zones, c.evacuations.zones) {
		return
	}
	c.evacuations.zones = slices.Clone(zones)
	for _, z := range c.zones {
		if evacuated := slices.Contains(zones, z.name); evacuated != z.evacuated {
			z.evacuated = evacuated
			if evacuated {
				z.evacuatedSince = c.now
			} else {
				z.returnedAt = c.now
			}
			c.logEvacuation(z)
		}
	}
	c.endpointsChanged()
}

// evacuationsKnown reports whether the operator's evacuations are known well enough to start tasks.
// An owner that has just taken over, or that can't read the operator's requests, could otherwise
// start tasks in a zone that was evacuated long ago.
func (c *Cell) evacuationsKnown() bool {
	return c.options.MaxEvacuationAge == 0 || c.now.Sub(c.evacuations.confirmedAt) < c.options.MaxEvacuationAge
}

// explainStay says why a run in an evacuated zone has not been stopped.
func (c *Cell) explainStay(r *run) string {
	spec := r.task.phase.spec
	switch {
	case r.state != runConfirmed:
		return "its endpoint has not confirmed it"
	case spec.Lasting && !c.mayInterrupt(r.task.phase):
		return "no more tasks of its phase may be unavailable"
	case !spec.Lasting && (!spec.Checkpoints || spec.Gang):
		return "it runs to its end"
	case !spec.Lasting && c.endsBeforeMove(r):
		return "it ends sooner than it could be moved"
	case !c.mayLeaveZone(r):
		return "its job would be late if it were moved"
	case !c.countStoppedRuns().add(c, r):
		return "no other endpoint can take it now"
	}
	return "it is about to be moved"
}

// logEvacuation logs that the evacuation of a zone has begun or ended, and what the cell has there.
func (c *Cell) logEvacuation(z *zone) {
	endpoints, runs := 0, 0
	for _, e := range c.sortedEndpoints {
		if e.zone == z && !e.exited {
			endpoints++
			runs += len(e.runs)
		}
	}
	message := "zone is used again"
	if z.evacuated {
		message = "zone is evacuated"
	}
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: message, Zone: z.name, Reason: fmt.Sprintf("the cell has %d endpoints with %d runs there", endpoints, runs)})
}
