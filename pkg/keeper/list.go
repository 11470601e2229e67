package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// listView holds what this keeper has read of the platform's list of boxes.
type listView struct {
	// boxesByZone holds the listed boxes, by zone and name.
	boxesByZone map[string]map[string]wire.ListedBox
	// entryBoxes holds the entry boxes that were ever listed, by name.
	entryBoxes map[string]entryBoxSighting
}

// entryBoxSighting is what the list has shown of an entry box.
type entryBoxSighting struct {
	zone  string
	shown bool // The list has shown the box at least once.
	// missingSince is since when the list doesn't show the box, by the keeper's
	// clock. It is zero if the list shows it.
	missingSince time.Time
}

func newListView() listView {
	return listView{boxesByZone: map[string]map[string]wire.ListedBox{}, entryBoxes: map[string]entryBoxSighting{}}
}

// update replaces the list of a zone by the boxes that were read at the time now.
func (l *listView) update(zone string, boxes []wire.ListedBox, now time.Time) {
	shown := make(map[string]wire.ListedBox, len(boxes))
	for _, box := range boxes {
		shown[box.Info.Name] = box
		if box.EntryBox {
			l.entryBoxes[box.Info.Name] = entryBoxSighting{zone: zone, shown: true}
		}
	}
	l.boxesByZone[zone] = shown
	for name, sighting := range l.entryBoxes {
		if _, listed := shown[name]; !listed && sighting.zone == zone && sighting.missingSince.IsZero() {
			sighting.missingSince = now
			l.entryBoxes[name] = sighting
		}
	}
}

// missingSince returns since when the list no longer shows an entry box that it once
// showed. It returns false if the list shows the box. It also does if the list shows no
// boxes of the zone at all: the zone is then cut off from the platform rather than
// lost.
func (l *listView) missingSince(node, zone string) (time.Time, bool) {
	sighting, known := l.entryBoxes[node]
	if !known || !sighting.shown || sighting.missingSince.IsZero() || !l.showsZone(zone) {
		return time.Time{}, false
	}
	return sighting.missingSince, true
}

// showsZone reports whether the list shows at least one box of a zone that is not
// leaving.
func (l *listView) showsZone(zone string) bool {
	for _, box := range l.boxesByZone[zone] {
		if !box.Leaving {
			return true
		}
	}
	return false
}

// wasRead reports whether the list of any zone was read.
func (l *listView) wasRead() bool {
	return len(l.boxesByZone) > 0
}

// leavingBoxes returns the names of the endpoint boxes that are leaving and must get
// no new work.
func (l *listView) leavingBoxes() []string {
	names := []string{}
	for _, boxes := range l.boxesByZone {
		for name, box := range boxes {
			if box.Leaving && !box.EntryBox {
				names = append(names, name)
			}
		}
	}
	return names
}

// pollList reads the platform's list of each zone in listedZones every ListMs
// milliseconds until ctx ends. It always returns nil.
func (k *Keeper) pollList(ctx context.Context) error {
	ticker := k.deps.Clock.NewTicker(milliseconds(k.deps.Settings.ListMs))
	defer ticker.Stop()
	for {
		for _, zone := range *k.listedZones.Load() {
			k.readList(ctx, zone)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
	}
}

// readList reads the list of a zone and passes it to run.
func (k *Keeper) readList(ctx context.Context, zone string) {
	readCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	boxes, err := k.deps.List.Boxes(readCtx, zone)
	if err != nil {
		k.deps.Metrics.Add("list_failures", 1)
		return
	}
	k.send(ctx, listMessage{zone: zone, boxes: boxes})
}

// handleList stores the list of a zone and, if this keeper leads the zone, proposes
// the changes that the list shows. It also sets listedZones to the keeper's own zone
// and the zones that it leads.
func (k *Keeper) handleList(message listMessage) {
	k.list.update(message.zone, message.boxes, k.now())
	zones := []string{k.deps.Settings.Hall}
	for _, zone := range k.deps.Settings.Halls {
		if zone != k.deps.Settings.Hall && k.leadsZone(zone) {
			zones = append(zones, zone)
		}
	}
	k.listedZones.Store(&zones)
	if k.isLogFresh() && k.leadsZone(message.zone) {
		k.proposeListChanges(message.zone)
	}
}

// proposeListChanges proposes to enroll the zone's new or changed boxes, and the
// health that the list shows for the others.
func (k *Keeper) proposeListChanges(zone string) {
	var added []wire.BoxInfo
	for _, listed := range k.list.boxesByZone[zone] {
		if listed.EntryBox {
			continue
		}
		box, known := k.state.Box(listed.Info.Name)
		if !known || (box.Info != listed.Info && box.Sender.IsNone()) {
			added = append(added, listed.Info)
			continue
		}
		k.proposeHealth(box, listedHealth(listed))
	}
	if len(added) > 0 {
		slices.SortFunc(added, func(a, b wire.BoxInfo) int { return strings.Compare(a.Name, b.Name) })
		k.propose(wire.Proposal{Kind: wire.KindEnroll, Boxes: added, Cause: "the platform's list shows them"})
	}
	k.proposeGone(zone)
}

// listedHealth returns the health that the list shows for a box.
func listedHealth(listed wire.ListedBox) wire.Health {
	if listed.Leaving {
		return wire.HealthLeaving
	}
	return wire.HealthUp
}

// proposeHealth proposes the health that the list shows for a box, if it differs from
// the recorded one. It never replaces down by up: only the box's sender can tell
// whether the endpoint answers. It proposes nothing for boxes in maintenance.
func (k *Keeper) proposeHealth(box fleetstate.Box, health wire.Health) {
	if box.Health == health || (health == wire.HealthUp && box.Health == wire.HealthDown) {
		return
	}
	if box.Phase == fleetstate.Maintenance {
		return
	}
	k.propose(wire.Proposal{
		Kind:   wire.KindHealth,
		Cause:  "the platform's list shows it so",
		Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: health},
	})
}

// proposeGone proposes the health gone for the zone's boxes that the list no longer
// shows. If the list shows no boxes of the zone, the zone is cut off from the
// platform rather than gone.
func (k *Keeper) proposeGone(zone string) {
	if !k.list.showsZone(zone) {
		return
	}
	for _, box := range k.state.Boxes() {
		if _, listed := k.list.boxesByZone[zone][box.Info.Name]; !listed && box.Info.Hall == zone {
			k.proposeHealth(box, wire.HealthGone)
		}
	}
}
