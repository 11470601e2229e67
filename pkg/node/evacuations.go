package node

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"damsonwinch"
	"damsonwinch/pkg/owner"
	"damsonwinch/pkg/planner"
)

// evacuations holds the availability zones in which the operator wants no task to start, as far as this
// node has read the operator's stream.
type evacuations struct {
	byZone map[string]evacuation
	// confirmedAt is when the store last confirmed that there are no others, or zero if it never did.
	confirmedAt time.Time
}

// evacuation is a request of the operator that is in force.
type evacuation struct {
	offset int
	// since is when this node began to follow the request.
	since time.Time
}

// zones returns the names of the evacuated zones in order.
func (e *evacuations) zones() []string {
	return slices.Sorted(maps.Keys(e.byZone))
}

// since returns since when this node has followed each request, by zone.
func (e *evacuations) since() map[string]time.Time {
	since := make(map[string]time.Time, len(e.byZone))
	for zone, current := range e.byZone {
		since[zone] = current.since
	}
	return since
}

// setEvacuation applies a request of the operator, unless this node follows it already.
func (n *Node) setEvacuation(request damsonwinch.Evacuation) {
	current, evacuated := n.state.evacuations.byZone[request.Zone]
	if request.Ended {
		if evacuated {
			n.endEvacuation(request.Zone, current)
		}
		return
	}
	if evacuated && current.offset == request.Offset {
		return
	}
	// The zone may have been taken back between two requests: reads return the newest record of a key.
	n.state.evacuations.byZone[request.Zone] = evacuation{offset: request.Offset, since: n.deps.Clock.Now()}
	n.deps.Logger.WithFields(logrus.Fields{"zone": request.Zone, "offset": request.Offset}).Info("zone evacuated: no task starts there")
}

// endEvacuation makes a zone usable again.
func (n *Node) endEvacuation(zone string, ended evacuation) {
	delete(n.state.evacuations.byZone, zone)
	n.deps.Logger.WithFields(logrus.Fields{"zone": zone, "offset": ended.offset, "evacuated_s": int(n.deps.Clock.Since(ended.since).Seconds())}).Info("zone taken back: tasks start there again")
}

// endUnlistedEvacuations ends the evacuations that are not in a snapshot of the operator's stream: the
// operator has deleted their records.
func (n *Node) endUnlistedEvacuations(listed map[string]bool) {
	for zone, current := range n.state.evacuations.byZone {
		if !listed[zone] {
			n.endEvacuation(zone, current)
		}
	}
}

// sendEvacuations tells the owners and the planner on this node which zones are evacuated. The owners also
// learn when that was last confirmed.
func (n *Node) sendEvacuations() {
	zones := n.state.evacuations.zones()
	n.deps.Metrics.SetGauge("zones_evacuated", len(zones))
	for _, runner := range *n.runners.Load() {
		switch runner := runner.(type) {
		case *owner.Owner:
			runner.SetEvacuations(zones, n.state.evacuations.confirmedAt)
		case *planner.Planner:
			runner.SetEvacuatedZones(n.state.evacuations.since())
		}
	}
}
