package planbench

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// TestAMonthKeepsItsBudgetsAndBounds plays both users' months. The counts are
// of decisions and don't depend on the machine.
func TestAMonthKeepsItsBudgetsAndBounds(t *testing.T) {
	for _, name := range trial.UserNames() {
		t.Run(name, func(t *testing.T) {
			boxes, table, err := UserFleet(name)
			assert.NilError(t, err)
			ours, err := playMonth(plan.New, boxes, table)
			assert.NilError(t, err)
			plain, err := playMonth(Baseline, boxes, table)
			assert.NilError(t, err)

			assert.Equal(t, ours.broken, 0)
			assert.Assert(t, ours.moves <= plain.moves, "%+v", ours)
			assert.Assert(t, ours.rounds <= plain.rounds, "%+v", ours)
			assert.Assert(t, ours.spare <= plain.spare, "%+v", ours)
			assert.Assert(t, within(ours.spare, ours.spareBound), "%+v", ours)
			assert.Assert(t, within(ours.rounds, ours.roundsBound), "%+v", ours)
		})
	}
}

// within says whether a measure is at most a tenth over its bound.
func within(measure, bound int) bool {
	const most = 110
	return measure*percent <= bound*most
}

// TestASmallEditToAndFroMovesNothing shows the hysteresis of moves.
func TestASmallEditToAndFroMovesNothing(t *testing.T) {
	boxes, table, err := UserFleet(trial.Podkarpacie)
	assert.NilError(t, err)
	b, err := newBench(plan.New)
	assert.NilError(t, err)
	assert.NilError(t, b.start(boxes, table))
	b.settle(mostRounds)
	for _, step := range monthSteps(boxes)[:2] {
		assert.NilError(t, step(b))
		b.settle(mostRounds)
	}
	assert.Equal(t, b.moves, 0)
}

// TestAPlanIsSettled: what a plan proposes is accepted, and carried out it leaves
// nothing to propose.
func TestAPlanIsSettled(t *testing.T) {
	boxes, table := LargeFleet(Sizes{Boxes: 400, Pools: 5, Halls: 4, RackBoxes: 4, BoxSlots: 8, Teams: 1})
	b, err := newBench(plan.New)
	assert.NilError(t, err)
	assert.NilError(t, b.start(boxes, table))
	for _, verdict := range b.append(plan.New(b.state, plan.Options{}).Proposals...) {
		assert.Assert(t, verdict.Accepted, verdict.Reason)
	}
	rounds := b.settle(mostRounds)
	assert.Assert(t, rounds < 3, "%d rounds", rounds)
	assert.Equal(t, len(plan.New(b.state, plan.Options{}).Proposals), 0)
}

// fleetOf returns a settled fleet of a size.
func fleetOf(b *testing.B, boxes int) *bench {
	sizes := SizesInTwoYears()
	sizes.Boxes, sizes.Pools = boxes, max(2, sizes.Pools*boxes/sizes.Boxes)
	infos, table := LargeFleet(sizes)
	made, err := newBench(plan.New)
	assert.NilError(b, err)
	assert.NilError(b, made.start(infos, table))
	made.settle(mostRounds)
	return made
}

func BenchmarkPlan(b *testing.B) {
	for _, boxes := range []int{50, 500, 5800} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			made := fleetOf(b, boxes)
			b.ReportAllocs()
			for b.Loop() {
				plan.New(made.state, plan.Options{})
			}
		})
	}
}

func BenchmarkFoldOneRecord(b *testing.B) {
	for _, boxes := range []int{50, 500, 5800} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			made := fleetOf(b, boxes)
			box := made.state.Boxes()[boxes/2]
			b.ReportAllocs()
			for b.Loop() {
				made.append(wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: wire.HealthDown}})
				made.append(wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: wire.HealthUp}})
			}
		})
	}
}
