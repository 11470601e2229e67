package plan

import (
	"fmt"
	"slices"
	"strings"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// AssignSenders proposes senders for the boxes without a sender in a zone, except
// for those in the free pool. It chooses among live, the senders that renew their
// leases: the zone's own or, if it has none, those of all zones. Senders of other
// zones get only boxes whose epoch started at adoptBefore or earlier, in
// milliseconds of log time since 1970. So a zone whose entries are just starting
// keeps its boxes.
func AssignSenders(state fleetstate.State, zone string, live []fleetstate.Sender, adoptBefore int) []wire.Proposal {
	candidates := stayingInZone(live, zone)
	adopting := len(candidates) == 0
	if adopting {
		candidates = live
	}
	if len(candidates) == 0 {
		return nil
	}
	counts := countSenderBoxes(state)
	var proposals []wire.Proposal
	for _, box := range state.Boxes() {
		if box.Info.Hall != zone || box.Pool == fleetstate.FreePool || !box.Sender.IsNone() || (adopting && box.EpochStartedAt > adoptBefore) {
			continue
		}
		chosen := leastLoaded(candidates, counts, box.Pool)
		counts.add(chosen.Key, box.Pool)
		proposals = append(proposals, wire.Proposal{
			Kind:   wire.KindAssign,
			Cause:  fmt.Sprintf("%s has no sender", box.Info.Name),
			Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: chosen.Key.Node, Entry: chosen.Key.Incarnation},
		})
	}
	return proposals
}

// stayingInZone returns the senders of a zone that are not leaving.
func stayingInZone(senders []fleetstate.Sender, zone string) []fleetstate.Sender {
	var found []fleetstate.Sender
	for _, sender := range senders {
		if sender.Zone == zone && !sender.Leaving {
			found = append(found, sender)
		}
	}
	return found
}

// boxCounts counts the boxes of each sender, in total and by pool.
type boxCounts struct {
	total  map[fleetstate.SenderKey]int
	byPool map[senderPool]int
}

type senderPool struct {
	key  fleetstate.SenderKey
	pool string
}

// countSenderBoxes counts the boxes that have a sender.
func countSenderBoxes(state fleetstate.State) boxCounts {
	counts := boxCounts{total: map[fleetstate.SenderKey]int{}, byPool: map[senderPool]int{}}
	for _, box := range state.Boxes() {
		if !box.Sender.IsNone() {
			counts.add(box.Sender, box.Pool)
		}
	}
	return counts
}

func (c boxCounts) add(key fleetstate.SenderKey, pool string) {
	c.total[key]++
	c.byPool[senderPool{key, pool}]++
}

// leastLoaded returns the candidate with the fewest boxes of a pool, so that each
// pool's boxes are spread over the senders. Among equals it prefers the one with
// the fewest boxes in total, then the first by node name.
func leastLoaded(candidates []fleetstate.Sender, counts boxCounts, pool string) fleetstate.Sender {
	return slices.MinFunc(candidates, func(a, b fleetstate.Sender) int {
		if difference := counts.byPool[senderPool{a.Key, pool}] - counts.byPool[senderPool{b.Key, pool}]; difference != 0 {
			return difference
		}
		if difference := counts.total[a.Key] - counts.total[b.Key]; difference != 0 {
			return difference
		}
		return strings.Compare(a.Key.Node, b.Key.Node)
	})
}
