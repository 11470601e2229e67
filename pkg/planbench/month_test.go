package planbench

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// TestMonthKeepsBudgetsAndStaysNearBounds simulates a month of both users' fleets. It
// compares counts of decisions, which don't depend on the machine's speed.
func TestMonthKeepsBudgetsAndStaysNearBounds(t *testing.T) {
	for _, name := range trial.UserNames() {
		t.Run(name, func(t *testing.T) {
			boxes, table, err := UserFleet(name)
			assert.NilError(t, err)
			ours, err := simulateMonth(plan.New, boxes, table)
			assert.NilError(t, err)
			baseline, err := simulateMonth(Baseline, boxes, table)
			assert.NilError(t, err)

			assert.Equal(t, ours.brokenBudgets, 0)
			assert.Assert(t, ours.moves <= baseline.moves, "%+v", ours)
			assert.Assert(t, ours.rounds <= baseline.rounds, "%+v", ours)
			assert.Assert(t, ours.spare <= baseline.spare, "%+v", ours)
			assert.Assert(t, isWithinTenPercent(ours.spare, ours.spareBound), "%+v", ours)
			assert.Assert(t, isWithinTenPercent(ours.rounds, ours.roundsBound), "%+v", ours)
		})
	}
}

// isWithinTenPercent reports whether a value is at most 10 % above its lower bound.
func isWithinTenPercent(measure, bound int) bool {
	const maxPercent = 110
	return measure*percent <= bound*maxPercent
}

// TestSmallEditAndItsReversalMoveNoBox guards the hysteresis of the planner: a small
// change of demand that is soon undone must not move boxes.
func TestSmallEditAndItsReversalMoveNoBox(t *testing.T) {
	boxes, table, err := UserFleet(trial.Podkarpacie)
	assert.NilError(t, err)
	sim, err := newSimulation(plan.New)
	assert.NilError(t, err)
	assert.NilError(t, sim.enroll(boxes, table))
	sim.planUntilStable(maxRounds)
	for _, event := range monthEvents(boxes)[:2] {
		assert.NilError(t, event(sim))
		sim.planUntilStable(maxRounds)
	}
	assert.Equal(t, sim.moves, 0)
}

// TestPlanIsAcceptedAndLeavesNothingToPropose checks that all proposals of a fleet's
// first plan are accepted. At most two more plans may propose something.
func TestPlanIsAcceptedAndLeavesNothingToPropose(t *testing.T) {
	boxes, table := LargeFleet(Sizes{Boxes: 400, Pools: 5, Halls: 4, RackBoxes: 4, BoxSlots: 8, Teams: 1})
	sim, err := newSimulation(plan.New)
	assert.NilError(t, err)
	assert.NilError(t, sim.enroll(boxes, table))
	for _, result := range sim.appendBatch(plan.New(sim.state, plan.Options{}).Proposals...) {
		assert.Assert(t, result.Accepted, result.Reason)
	}
	rounds := sim.planUntilStable(maxRounds)
	assert.Assert(t, rounds < 3, "%d rounds", rounds)
	assert.Equal(t, len(plan.New(sim.state, plan.Options{}).Proposals), 0)
}

// newStableFleet returns a fleet with the given number of boxes, for which a plan
// proposes nothing. Its number of pools is in proportion to the boxes.
func newStableFleet(b *testing.B, boxes int) *simulation {
	sizes := SizesInTwoYears()
	sizes.Boxes, sizes.Pools = boxes, max(2, sizes.Pools*boxes/sizes.Boxes)
	infos, table := LargeFleet(sizes)
	sim, err := newSimulation(plan.New)
	assert.NilError(b, err)
	assert.NilError(b, sim.enroll(infos, table))
	sim.planUntilStable(maxRounds)
	return sim
}

// BenchmarkPlan makes a plan for a fleet that needs no change.
func BenchmarkPlan(b *testing.B) {
	for _, boxes := range []int{50, 500, 5800} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			sim := newStableFleet(b, boxes)
			b.ReportAllocs()
			for b.Loop() {
				plan.New(sim.state, plan.Options{})
			}
		})
	}
}

// BenchmarkApplyHealthChange applies two records in each iteration: a box goes down and
// comes up again.
func BenchmarkApplyHealthChange(b *testing.B) {
	for _, boxes := range []int{50, 500, 5800} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			sim := newStableFleet(b, boxes)
			box := sim.state.Boxes()[boxes/2]
			b.ReportAllocs()
			for b.Loop() {
				sim.appendBatch(wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: wire.HealthDown}})
				sim.appendBatch(wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: box.Info.Name, Epoch: box.Epoch, Health: wire.HealthUp}})
			}
		})
	}
}
