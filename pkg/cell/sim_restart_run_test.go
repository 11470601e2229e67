package cell_test

import (
	"strings"
	"testing"
)

// TestRestartRuleDetectsKeptRuns guards against a rule on restarts that can't fail: owners never take the leases of
// unreachable endpoints for expired, so that the tasks there never run again beside idle endpoints.
func TestRestartRuleDetectsKeptRuns(t *testing.T) {
	for _, seed := range testSeeds(2000) {
		violation := simulateMixedFaults(seed, mutation{keepLostRuns: true}, false).rules.violation
		if strings.HasPrefix(violation, "RESTART") {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Fatal("no seed violated the rule without the mechanism")
}
