package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// listView is what the platform's list has shown to this keeper, by halls.
type listView struct {
	halls   map[string]map[string]wire.ListedBox
	entries map[string]entrySight
}

// entrySight is the history of one entry box in the list.
type entrySight struct {
	hall    string
	shown   bool
	missing time.Time // Since when it is not shown, on the keeper's clock.
}

func newListView() listView {
	return listView{halls: map[string]map[string]wire.ListedBox{}, entries: map[string]entrySight{}}
}

func (l *listView) take(hall string, boxes []wire.ListedBox, now time.Time) {
	shown := make(map[string]wire.ListedBox, len(boxes))
	for _, box := range boxes {
		shown[box.Info.Name] = box
		if box.EntryBox {
			l.entries[box.Info.Name] = entrySight{hall: hall, shown: true}
		}
	}
	l.halls[hall] = shown
	for name, sight := range l.entries {
		if _, listed := shown[name]; !listed && sight.hall == hall && sight.missing.IsZero() {
			sight.missing = now
			l.entries[name] = sight
		}
	}
}

// dropped says since when the list has shown an entry box no more. A box of a
// hall of which the list shows nothing at all is cut off rather than lost.
func (l *listView) dropped(node, hall string) (time.Time, bool) {
	sight, known := l.entries[node]
	if !known || !sight.shown || sight.missing.IsZero() || !l.shows(hall) {
		return time.Time{}, false
	}
	return sight.missing, true
}

func (l *listView) shows(hall string) bool {
	for _, box := range l.halls[hall] {
		if !box.Leaving {
			return true
		}
	}
	return false
}

// known says whether the list was read at all.
func (l *listView) known() bool {
	return len(l.halls) > 0
}

// avoid names the endpoint boxes that must get no new work.
func (l *listView) avoid() []string {
	names := []string{}
	for _, boxes := range l.halls {
		for name, box := range boxes {
			if box.Leaving && !box.EntryBox {
				names = append(names, name)
			}
		}
	}
	return names
}

// pollList reads the platform's list of the halls that concern this keeper until
// it stops.
func (k *Keeper) pollList(ctx context.Context) error {
	ticker := k.deps.Clock.NewTicker(milliseconds(k.deps.Settings.ListMs))
	defer ticker.Stop()
	for {
		for _, hall := range *k.listed.Load() {
			k.readList(ctx, hall)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *Keeper) readList(ctx context.Context, hall string) {
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	boxes, err := k.deps.List.Boxes(limited, hall)
	if err != nil {
		k.deps.Metrics.Add("list_failures", 1)
		return
	}
	k.send(ctx, listMessage{hall: hall, boxes: boxes})
}

// takeList notes a hall's list and proposes what follows from it.
func (k *Keeper) takeList(message listMessage) {
	k.list.take(message.hall, message.boxes, k.now())
	led := []string{k.deps.Settings.Hall}
	for _, hall := range k.deps.Settings.Halls {
		if hall != k.deps.Settings.Hall && k.leadsHall(hall) {
			led = append(led, hall)
		}
	}
	k.listed.Store(&led)
	if k.logFresh() && k.leadsHall(message.hall) {
		k.proposeFromList(message.hall)
	}
}

// proposeFromList enrolls new boxes of a hall and records which are leaving or
// gone.
func (k *Keeper) proposeFromList(hall string) {
	var added []wire.BoxInfo
	for _, listed := range k.list.halls[hall] {
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
	k.proposeGone(hall)
}

func listedHealth(listed wire.ListedBox) wire.Health {
	if listed.Leaving {
		return wire.HealthLeaving
	}
	return wire.HealthUp
}

// proposeHealth says what the list shows. Up and down is the sender's to say:
// the list can't see an endpoint that fails.
func (k *Keeper) proposeHealth(box fold.Box, health wire.Health) {
	if box.Health == health || (health == wire.HealthUp && box.Health == wire.HealthDown) {
		return
	}
	if box.Phase == fold.Maintenance {
		return
	}
	k.propose(wire.Proposal{
		Kind:   wire.KindHealth,
		Cause:  "the platform's list shows it so",
		Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: health},
	})
}

// proposeGone records which boxes the list shows no more. A hall of which it
// shows nothing is cut off from the platform rather than gone.
func (k *Keeper) proposeGone(hall string) {
	if !k.list.shows(hall) {
		return
	}
	for _, box := range k.state.Boxes() {
		if _, listed := k.list.halls[hall][box.Info.Name]; !listed && box.Info.Hall == hall {
			k.proposeHealth(box, wire.HealthGone)
		}
	}
}
