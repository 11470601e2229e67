package ownership

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/cellclaim"
	"damsonwinch/pkg/liveness"
	"damsonwinch/pkg/membership"
	"damsonwinch/pkg/wire"
)

// newIdleOwnership returns the Ownership of the weakest of the given number of members, without its
// goroutines. A tenth of the members are strong and own a cell each.
func newIdleOwnership(size int) *Ownership {
	members, names := make([]membership.Member, 0, size), make([]string, 0, size)
	for number := range size {
		m := member(fmt.Sprintf("node-%04d", number), 1)
		m.Weight = 192
		if number%10 == 0 {
			m.Weight = 800
		}
		members, names = append(members, m), append(names, m.Name())
	}
	self := members[1]
	o := &Ownership{deps: Deps{Clock: clockwork.NewFakeClock()}, options: Options{Self: self}, state: state{claims: map[string]cellclaim.Claim{}, refusals: map[string]liveness.Refusal{}, health: map[nodeLife]ownerHealth{}}}
	o.state.memberList = membership.NewList(names, 1, false, self)
	for number := 0; number < size; number += 10 {
		cell := fmt.Sprintf("cell-%04d", number)
		o.state.cells = append(o.state.cells, cell)
		o.state.claims[cell] = cellclaim.Claim{CellClaim: wire.CellClaim{Cell: cell, Node: members[number].Node, Incarnation: 1}, Token: number + 1}
	}
	return o
}

// allocatedBytes returns the least number of bytes that a function has allocated in some runs.
func allocatedBytes(run func()) float64 {
	least := math.Inf(1)
	for range 5 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		run()
		runtime.ReadMemStats(&after)
		least = min(least, float64(after.TotalAlloc-before.TotalAlloc))
	}
	return least
}

// maxGrowth is how many times as much work four times the members may cost: linear growth with a margin.
const maxGrowth = 6

// TestWatchingCostsAreLinear checks what a node of a growing fleet does when a claim changes: to find out
// whose successor it is, and which cells without an owner it should claim. Each of the nodes does that for
// each change, so that a cost of members times cells stops a fleet of weak nodes.
func TestWatchingCostsAreLinear(t *testing.T) {
	const size = 100
	for name, work := range map[string]func(o *Ownership){
		"watched cells": func(o *Ownership) { o.successorCells() },
		"cells without an owner": func(o *Ownership) {
			for cell, claim := range o.state.claims {
				claim.Released = true
				o.state.claims[cell] = claim
			}
			o.claimNextCell()
		},
	} {
		t.Run(name, func(t *testing.T) {
			bytes := map[int]float64{}
			for _, n := range []int{size, 2 * size, 4 * size} {
				o := newIdleOwnership(n)
				bytes[n] = allocatedBytes(func() {
					o.invalidateRanking()
					work(o)
				})
			}
			t.Logf("bytes by members: %v", bytes)
			assert.Assert(t, bytes[4*size] <= maxGrowth*bytes[size], "%v", bytes)
		})
	}
}

// BenchmarkWatch measures what each node of a fleet of 588 does when a claim changes.
func BenchmarkWatch(b *testing.B) {
	o := newIdleOwnership(588)
	for b.Loop() {
		o.invalidateRanking()
		o.successorCells()
	}
}
