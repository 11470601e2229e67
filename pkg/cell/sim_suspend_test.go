package cell_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// suspensions is how often an owner's machine is suspended in a run.
	suspensions = 2
	// maxSuspension is longer than it takes until a task whose endpoint is out of reach of
	// the next owner is started elsewhere.
	maxSuspension = simRenewalGrace + simMaxLease + 3*time.Second
	// maxClaimsReadTime is how long a reading of the claims may take that was sent before.
	maxClaimsReadTime = time.Second
)

// simulateSuspensions plays one run of a seed in which the machines of owners are suspended, beside
// all other trouble. Another owner comes; the earlier one wakes and takes no time to have
// passed.
func simulateSuspensions(seed uint64, broken mutation) *world {
	w := newWorld(seed, broken)
	w.promptPolls, w.resetsOnExit, w.maxTaskTime, w.maxCompletionGap = true, true, 6*time.Second, 20*time.Second
	w.setUpWithoutFaults(defaultJobs)
	for range suspensions {
		w.after(w.randomDuration(0, simFaultTime), w.suspendOwner)
	}
	w.runToEnd()
	return w
}

// suspendOwner suspends the newest owner's machine. A box may be out of the next one's reach.
func (w *world) suspendOwner() {
	if !w.faultsOn {
		return
	}
	o := w.owners[len(w.owners)-1]
	length := w.randomDuration(500*time.Millisecond, maxSuspension)
	w.logf("owner %s is suspended for %v", o.name, length)
	if until := w.now.Add(length); until.After(o.pausedUntil) {
		o.pausedUntil = until
	}
	w.after(length, func() { o.suspendedTime += length })
	o.nextClaimCheck = w.now.Add(length + w.randomDuration(0, maxClaimsReadTime))
	if w.random.Float64() < 0.7 {
		next := string(rune('A' + len(w.owners)%26))
		box := w.endpoints[w.random.IntN(len(w.endpoints))].info.Box
		w.logf("cut between %s and %s", next, box)
		w.cuts[next+box] = true
		w.after(maxSuspension, func() { delete(w.cuts, next+box) })
	}
	w.after(w.randomDuration(100*time.Millisecond, time.Second), func() { w.addOwner() })
}

// TestRulesHoldWhenOwnersAreSuspended: an owner that wakes must not go on as if no time had passed.
// Another one may count on it having ended to prolong leases, and have started elsewhere what
// it could not reach.
func TestRulesHoldWhenOwnersAreSuspended(t *testing.T) {
	seeds := testSeeds(400)
	starts := 0
	for _, seed := range seeds {
		w := simulateSuspensions(seed, mutation{})
		assert.Equal(t, w.rules.violation, "", "seed %d:\n%s", seed, strings.Join(w.log, "\n"))
		starts += w.rules.startCount
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// TestRulesDetectHiddenSuspensions: where an owner isn't told some seed is broken.
func TestRulesDetectHiddenSuspensions(t *testing.T) {
	for _, seed := range testSeeds(400) {
		if broken := simulateSuspensions(seed, mutation{hideSuspensions: true}).rules.violation; broken != "" {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
