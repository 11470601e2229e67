package cell_test

import (
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// failedMixedSeeds are seeds that once violated a rule. So far there are none.
var failedMixedSeeds = []uint64{}

// leasesCountFromArrival reports whether DAMSONWINCH_LEASES_FROM_ARRIVAL is set. Then the leases of requests that are
// carried out late count from their arrival, which the platform's protocol excludes: the end of a lease is a time on
// the endpoint's clock.
func leasesCountFromArrival() bool {
	return os.Getenv("DAMSONWINCH_LEASES_FROM_ARRIVAL") != ""
}

// TestRulesHoldUnderMixedFaults simulates pairs and groups of faults that overlap in time, beside long-running
// tasks that fail and turns of demand. DAMSONWINCH_SEEDS and DAMSONWINCH_FIRST_SEED choose the seeds.
func TestRulesHoldUnderMixedFaults(t *testing.T) {
	starts, restarts := 0, 0
	seeds := append(slices.Clone(failedMixedSeeds), testSeeds(100)...)
	for _, seed := range seeds {
		w := simulateMixedFaults(seed, mutation{}, leasesCountFromArrival())
		starts += w.rules.startCount
		restarts += w.mixed.longRunning.restarts
		if w.rules.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
	}
	t.Logf("%d seeds, %d starts, %d of them restarts of long-running tasks", len(seeds), starts, restarts)
}

// TestMixedFaultsAreDeterministic makes sure that a seed which has found a fault finds it again.
func TestMixedFaultsAreDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		first, second := simulateMixedFaults(seed, mutation{}, false), simulateMixedFaults(seed, mutation{}, false)
		assert.DeepEqual(t, first.log, second.log)
	}
}

// TestMixedFaultRulesDetectDisabledMechanisms disables one mechanism after another. With some seed that must violate
// the rule.
func TestMixedFaultRulesDetectDisabledMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		mutation mutation
		rule     string
	}{
		"leases expire early":                       {mutation{expireLeasesEarly: true}, "TWICE"},
		"records without runs":                      {mutation{dropRuns: true}, "TWICE"},
		"lost runs are kept":                        {mutation{keepLostRuns: true}, "LOST: long-running task"},
		"starts before records":                     {mutation{startBeforeRecord: true}, "TWICE"},
		"commits after a snapshot":                  {mutation{commitAfterMove: true}, "TWICE"},
		"lists of boxes as if requested on arrival": {mutation{requestListsLate: true}, "TWICE"},
	} {
		t.Run(name, func(t *testing.T) {
			expectViolation(t, c.rule, firstSeeds(1999), c.mutation, simulateMixedFaultsOnTime)
		})
	}
}
