package cell_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// suspensions is the number of suspensions of owners' machines in a simulation.
	suspensions = 2
	// maxSuspension is longer than a new owner waits before it restarts a task whose endpoint it
	// can't reach.
	maxSuspension = simRenewalGrace + simMaxLease + 3*time.Second
	// maxClaimsReadTime is how long after the suspension the owner may wait for a read of the
	// claims that it sent before. Until then it notices no newer claim.
	maxClaimsReadTime = time.Second
)

// simulateSuspensions runs the simulation of a seed in which the machines of owners are suspended.
// Another owner claims the cell meanwhile. The earlier one then continues, and on its clock no time
// has passed.
func simulateSuspensions(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.promptPolls, w.resetsOnExit, w.maxTaskTime, w.maxCompletionGap = true, true, 6*time.Second, 20*time.Second
	w.setUpWithoutFaults(defaultJobs)
	for range suspensions {
		w.after(w.randomDuration(0, simFaultTime), func() {
			duration, box := w.randomDuration(500*time.Millisecond, maxSuspension), ""
			if w.random.Float64() < 0.7 {
				box = w.endpoints[w.random.IntN(len(w.endpoints))].info.Box
			}
			w.suspendOwner(duration, box)
		})
	}
	w.runToEnd()
	return w
}

// simulateSuspensionsOfPartitionedOwners simulates suspensions that end shortly before the leases on a box that only the
// suspended owner can reach, and no other box. If it then renews them, the next owner restarts tasks that still run.
func simulateSuspensionsOfPartitionedOwners(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.promptPolls, w.resetsOnExit, w.maxTaskTime, w.maxCompletionGap = true, true, 12*time.Second, 20*time.Second
	w.setUpWithoutFaults(defaultJobs)
	w.after(w.randomDuration(simFaultTime/4, simFaultTime/2), func() {
		o, box := w.owners[len(w.owners)-1], w.randomBox()
		for _, e := range w.endpoints {
			if e.info.Box != box {
				w.cuts[o.name+e.info.Box] = true
			}
		}
		w.suspendOwner(w.randomDuration(simMaxLease-1500*time.Millisecond, simMaxLease), box)
	})
	w.runToEnd()
	return w
}

// suspendOwner suspends the newest owner's machine. The next owner is cut off from a box, unless its name is empty.
func (w *world) suspendOwner(duration time.Duration, box string) {
	if !w.faultsOn {
		return
	}
	o := w.owners[len(w.owners)-1]
	w.logf("owner %s is suspended for %v", o.name, duration)
	if until := w.now.Add(duration); until.After(o.pausedUntil) {
		o.pausedUntil = until
	}
	w.after(duration, func() { o.suspendedTime += duration })
	o.nextClaimCheck = w.now.Add(duration + w.randomDuration(0, maxClaimsReadTime))
	if box != "" {
		next := string(rune('A' + len(w.owners)%26))
		w.logf("%s and %s are cut off from each other", next, box)
		w.cuts[next+box] = true
		w.after(maxSuspension, func() { delete(w.cuts, next+box) })
	}
	w.after(w.randomDuration(100*time.Millisecond, time.Second), func() { w.addOwner() })
}

// TestRulesHoldWhenOwnersAreSuspended checks that an owner does no harm after a suspension. It must
// not go on as if no time had passed: the next owner relies on it to have stopped renewing leases,
// and may have restarted tasks whose endpoints it could not reach.
func TestRulesHoldWhenOwnersAreSuspended(t *testing.T) {
	checkSeeds(t, testSeeds(400), simulateSuspensions)
}

// TestRulesDetectHiddenSuspensions checks that tasks run twice if owners are not told of suspensions, and not if they
// are.
func TestRulesDetectHiddenSuspensions(t *testing.T) {
	for _, seed := range firstSeeds(40) {
		violation := simulateSuspensionsOfPartitionedOwners(seed, mutation{}).rules.violation
		assert.Assert(t, !strings.HasPrefix(violation, "TWICE"), "seed %d: %s", seed, violation)
	}
	expectViolation(t, "TWICE", testSeeds(400), mutation{hideSuspensions: true}, simulateSuspensionsOfPartitionedOwners)
}
