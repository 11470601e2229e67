package planbench

import (
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/wire"
)

// Baseline is the plain planner that ours is compared with: first fit by name,
// without regard to racks, one box in maintenance at a time, and whatever a pool
// doesn't need goes back at once.
func Baseline(state fold.State, _ plan.Options) plan.Plan {
	b := &baseline{state: state}
	for _, box := range state.Boxes() {
		if box.Pool != fold.FreePool && box.Health != wire.HealthUp && box.Phase == fold.Serving {
			b.drain(box, fold.FreePool, false)
		}
	}
	for _, pool := range state.Table().Deployment().Pools {
		b.fit(pool)
	}
	if len(b.plan.Proposals) == 0 {
		b.maintainOne()
	}
	return b.plan
}

type baseline struct {
	state fold.State
	plan  plan.Plan
}

func (b *baseline) drain(box fold.Box, target string, maintain bool) bool {
	next, err := b.state.WithDrain(box.Info.Name, target, maintain)
	if err != nil {
		return false
	}
	b.state = next
	change := &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Pool: target, Maintain: maintain}
	b.plan.Proposals = append(b.plan.Proposals, wire.Proposal{Kind: wire.KindDrain, Change: change})
	return true
}

// fit gives a pool the first free boxes until it has what it needs with its
// worst rack lost and one box in maintenance, and takes the last ones it has too
// many of.
func (b *baseline) fit(pool string) {
	racks := map[string]int{}
	slots, size := 0, 1
	var own, free []fold.Box
	for _, box := range b.state.Boxes() {
		size = max(size, box.Info.Slots)
		switch {
		case box.Pool == pool && box.Health == wire.HealthUp:
			own = append(own, box)
			slots += box.Info.Slots
			racks[box.Info.Hall+box.Info.Rack] += box.Info.Slots
		case box.Pool == fold.FreePool && box.Health == wire.HealthUp && box.Phase == fold.Serving:
			free = append(free, box)
		}
	}
	for len(free) > 0 && slots < b.wanted(pool, racks, size) {
		box := free[0]
		free = free[1:]
		if b.drain(box, pool, false) {
			slots += box.Info.Slots
			racks[box.Info.Hall+box.Info.Rack] += box.Info.Slots
		}
	}
	for last := len(own) - 1; last >= 0 && slots-own[last].Info.Slots >= b.wanted(pool, racks, size); last-- {
		if !b.drain(own[last], fold.FreePool, false) {
			return
		}
		slots -= own[last].Info.Slots
		racks[own[last].Info.Hall+own[last].Info.Rack] -= own[last].Info.Slots
	}
}

func (b *baseline) wanted(pool string, racks map[string]int, size int) int {
	worst := 0
	for _, slots := range racks {
		worst = max(worst, slots)
	}
	return b.state.Table().NeededSlots(pool) + worst + size
}

func (b *baseline) maintainOne() {
	before := b.state.Table().Deployment().MaintainBefore
	for _, box := range b.state.Boxes() {
		if box.MaintainedAt < before && box.Phase == fold.Serving && b.drain(box, box.Pool, true) {
			return
		}
	}
}
