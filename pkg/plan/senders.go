package plan

import (
	"fmt"
	"slices"
	"strings"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// AssignSenders proposes a sender for each box of a hall that has none. Live are the
// senders that renew. When the hall has none of its own, another hall's take
// the boxes that have stood still since before adopt, in milliseconds since
// 1970: a hall whose entries are only starting keeps its boxes.
func AssignSenders(state fold.State, hall string, live []fold.Sender, adopt int) []wire.Proposal {
	candidates := inHall(live, hall)
	adopting := len(candidates) == 0
	if adopting {
		candidates = live
	}
	if len(candidates) == 0 {
		return nil
	}
	held := heldBy(state)
	var proposals []wire.Proposal
	for _, box := range state.Boxes() {
		if box.Info.Hall != hall || box.Pool == fold.FreePool || !box.Sender.IsNone() || (adopting && box.EpochStartedAt > adopt) {
			continue
		}
		chosen := leastLoaded(candidates, held, box.Pool)
		held.add(chosen.Key, box.Pool)
		proposals = append(proposals, wire.Proposal{
			Kind:   wire.KindAssign,
			Cause:  fmt.Sprintf("%s has no sender", box.Info.Name),
			Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Node: chosen.Key.Node, Entry: chosen.Key.Incarnation},
		})
	}
	return proposals
}

func inHall(senders []fold.Sender, hall string) []fold.Sender {
	var found []fold.Sender
	for _, sender := range senders {
		if sender.Zone == hall && !sender.Leaving {
			found = append(found, sender)
		}
	}
	return found
}

// holdings counts the boxes of each sender, in all and by pool.
type holdings struct {
	all    map[fold.SenderKey]int
	byPool map[poolHolding]int
}

type poolHolding struct {
	key  fold.SenderKey
	pool string
}

func heldBy(state fold.State) holdings {
	held := holdings{all: map[fold.SenderKey]int{}, byPool: map[poolHolding]int{}}
	for _, box := range state.Boxes() {
		if !box.Sender.IsNone() {
			held.add(box.Sender, box.Pool)
		}
	}
	return held
}

func (h holdings) add(key fold.SenderKey, pool string) {
	h.all[key]++
	h.byPool[poolHolding{key, pool}]++
}

// leastLoaded prefers the sender with least of the pool, so that each pool's
// boxes are spread over senders.
func leastLoaded(candidates []fold.Sender, held holdings, pool string) fold.Sender {
	return slices.MinFunc(candidates, func(a, b fold.Sender) int {
		if less := held.byPool[poolHolding{a.Key, pool}] - held.byPool[poolHolding{b.Key, pool}]; less != 0 {
			return less
		}
		if less := held.all[a.Key] - held.all[b.Key]; less != 0 {
			return less
		}
		return strings.Compare(a.Key.Node, b.Key.Node)
	})
}
