package cell_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRestartRuleDetectsKeptRuns guards against a rule on restarts that can't fail: owners never take the leases of
// unreachable endpoints for expired, so that the tasks there never run again beside idle endpoints.
func TestRestartRuleDetectsKeptRuns(t *testing.T) {
	expectViolation(t, "RESTART", testSeeds(2000), mutation{keepLostRuns: true}, simulateMixedFaultsOnTime)
}

// checkFleet simulates seeds with a fleet planner: those that once violated a rule, and those of testSeeds.
func checkFleet(t *testing.T, rate orderRate, failedSeeds ...uint64) {
	seeds, moves, restarts, waits, longest := append(failedSeeds, testSeeds(60)...), 0, 0, 0, time.Duration(0)
	for _, seed := range seeds {
		w := simulateFleet(seed, mutation{}, rate)
		if w.rules.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
		moves, restarts, waits = moves+w.fleet.moves, restarts+w.restarts.restarts, waits+w.restarts.waits
		longest = max(longest, w.restarts.longestWait)
	}
	t.Logf("%d seeds, %d moves, %d restarts, %d waits of over %v in calm without room, longest wait in calm %v", len(seeds), moves, restarts, waits, maxRestartWait, longest)
}

// TestLongRunningTasksRestartUnderAPlanner guards against a long-running task that waits beside idle boxes which the
// planner has withdrawn, or of which it doesn't learn that the owner lacks one, while demand rises and falls by turns.
// DAMSONWINCH_SEEDS and DAMSONWINCH_FIRST_SEED choose the seeds.
func TestLongRunningTasksRestartUnderAPlanner(t *testing.T) {
	checkFleet(t, rateKnown)
}

// TestLongRunningTasksRestartWhileNoOrdersAreTaken guards against a long-running task that waits beside idle boxes
// which the planner has withdrawn for another pool and doesn't give back while the platform takes no orders.
func TestLongRunningTasksRestartWhileNoOrdersAreTaken(t *testing.T) {
	checkFleet(t, rateStalls, 474, 550, 567, 572)
}

// TestLongRunningTasksRestartWhileFewOrdersAreTaken guards against the same while the platform takes fewer orders than
// the planner's options say.
func TestLongRunningTasksRestartWhileFewOrdersAreTaken(t *testing.T) {
	checkFleet(t, rateUnknown, 49, 75, 90, 211)
}

// TestNoBoxWithRunsIsMoved guards against an order that the platform has refused and that is repeated although the
// endpoint for which it was issued is in use again, or has exited and left the box to a later life. With seeds 22, 116
// and 134 the registration of a withdrawn endpoint was missing for a moment, so that its owner forgot the withdrawal;
// with seed 245 the box of a withdrawn endpoint restarted between two lists of boxes.
func TestNoBoxWithRunsIsMoved(t *testing.T) {
	for _, seed := range append([]uint64{22, 116, 134, 245}, testSeeds(20)...) {
		if violation := simulateFleet(seed, mutation{}, rateUnknown).rules.violation; strings.HasPrefix(violation, "MOVED") {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// TestFleetSimulationIsDeterministic makes sure that a seed which has found a fault finds it again.
func TestFleetSimulationIsDeterministic(t *testing.T) {
	for _, seed := range testSeeds(3) {
		assert.DeepEqual(t, simulateFleet(seed, mutation{}, rateStalls).log, simulateFleet(seed, mutation{}, rateStalls).log)
	}
}
