package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// listView is what the platform's list has shown to this keeper.
type listView struct {
	boxes   map[string]wire.ListedBox
	read    bool
	entries map[string]entrySight
}

// entrySight is the history of one entry box in the list.
type entrySight struct {
	shown   bool
	missing time.Time // Since when it is not shown, on the keeper's clock.
}

func newListView() listView {
	return listView{boxes: map[string]wire.ListedBox{}, entries: map[string]entrySight{}}
}

func (l *listView) take(boxes []wire.ListedBox, now time.Time) {
	l.boxes = make(map[string]wire.ListedBox, len(boxes))
	l.read = true
	for _, box := range boxes {
		l.boxes[box.Info.Name] = box
		if box.EntryBox {
			l.entries[box.Info.Name] = entrySight{shown: true}
		}
	}
	for name, sight := range l.entries {
		if _, listed := l.boxes[name]; !listed && sight.missing.IsZero() {
			l.entries[name] = entrySight{shown: sight.shown, missing: now}
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
	for _, box := range l.boxes {
		if box.Info.Hall == hall && !box.Leaving {
			return true
		}
	}
	return false
}

// avoid names the endpoint boxes that must get no new work.
func (l *listView) avoid() []string {
	names := []string{}
	for name, box := range l.boxes {
		if box.Leaving && !box.EntryBox {
			names = append(names, name)
		}
	}
	return names
}

// pollList reads the platform's list until the keeper stops.
func (k *Keeper) pollList(ctx context.Context) error {
	ticker := k.deps.Clock.NewTicker(milliseconds(k.deps.Settings.ListMs))
	defer ticker.Stop()
	for {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		boxes, err := k.deps.List.Boxes(limited)
		cancel()
		if err != nil {
			k.deps.Metrics.Add("list_failures", 1)
		} else {
			k.send(ctx, listMessage{boxes: boxes})
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
	}
}

// proposeFromList enrolls new boxes of the halls that this keeper leads and
// records which are leaving or gone.
func (k *Keeper) proposeFromList() {
	if !k.logFresh() {
		return
	}
	led := k.ledHalls()
	var added []wire.BoxInfo
	for _, listed := range k.list.boxes {
		if listed.EntryBox || !led[listed.Info.Hall] {
			continue
		}
		box, known := k.state.Box(listed.Info.Name)
		if !known || (box.Info != listed.Info && box.Sender.None()) {
			added = append(added, listed.Info)
			continue
		}
		k.proposeHealth(box, listedHealth(listed))
	}
	if len(added) > 0 {
		slices.SortFunc(added, func(a, b wire.BoxInfo) int { return strings.Compare(a.Name, b.Name) })
		k.propose(wire.Proposal{Kind: wire.KindEnroll, Boxes: added, Cause: "the platform's list shows them"})
	}
	k.proposeGone(led)
}

func (k *Keeper) ledHalls() map[string]bool {
	led := map[string]bool{}
	for _, hall := range k.deps.Settings.Halls {
		led[hall] = k.leadsHall(hall)
	}
	return led
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
func (k *Keeper) proposeGone(led map[string]bool) {
	for _, box := range k.state.Boxes() {
		if !led[box.Info.Hall] || !k.list.shows(box.Info.Hall) {
			continue
		}
		if _, listed := k.list.boxes[box.Info.Name]; !listed {
			k.proposeHealth(box, wire.HealthGone)
		}
	}
}
