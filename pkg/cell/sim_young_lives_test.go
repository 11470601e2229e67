package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Faults of a simulation of young lives.
const (
	youngLifeRounds = 4
	youngLifeBoxes  = 5
	youngLifeJobs   = 12
	// maxYoungAge is the age at which a life exits again at most.
	maxYoungAge = 900 * time.Millisecond
)

// simulateYoungLives runs the simulation of a seed in which most endpoints restart at once under their IDs, are registered and
// used soon after, and exit again or are cut off within a second, while long tasks run. Calls are made over connections that
// are reused, closed and reset.
func simulateYoungLives(seed uint64, m mutation) *world {
	return simulateYoungLivesWithListLag(seed, m, 0)
}

// simulateYoungLivesWithListLag does the same with lists of boxes that lack a life for some time after its start.
func simulateYoungLivesWithListLag(seed uint64, m mutation, lag time.Duration) *world {
	w := newWorld(seed, m)
	w.boxListLag = lag
	w.boxCount, w.firstClockMs = youngLifeBoxes, 0
	w.sharedIDs, w.quickRestarts, w.maxTaskTime, w.maxCompletionGap = true, true, 5*time.Second, 20*time.Second
	w.resetsOnExit, w.promptPolls = seed%2 == 0, seed%3 != 0
	w.connections = newSimConnections(w, seed%4 < 2)
	w.setUpWithoutFaults(youngLifeJobs)
	for range youngLifeRounds {
		w.after(w.randomDuration(500*time.Millisecond, simFaultTime*3/4), w.restartYoung)
	}
	w.runToEnd()
	return w
}

// restartYoung restarts most boxes at once. Some lives exit again within maxYoungAge, and all are cut off from the present owner
// and the next ones within a second. The owner may be killed in between.
func (w *world) restartYoung() {
	if !w.faultsOn {
		return
	}
	owner := len(w.owners) - 1
	for number := range w.boxCount {
		if w.random.Float64() < 0.3 {
			continue
		}
		box := fmt.Sprintf("box-%d", number)
		lives := 1
		for lives < 3 && w.random.Float64() < 0.4 {
			lives++
		}
		w.restartInRow(box, lives)
		cutAfter, cutTime := w.randomDuration(0, time.Second), w.randomDuration(50*time.Millisecond, 8*time.Second)
		w.logf("%s restarts %d times and is cut off after %v for %v", box, lives, cutAfter, cutTime)
		for next := range 3 {
			w.connections.cut(string(rune('A'+(owner+next)%26)), box, cutAfter, cutTime)
		}
	}
	if w.random.Float64() < 0.3 {
		w.after(w.randomDuration(0, time.Second), w.replaceOwner)
	}
}

// restartInRow ends the life on a box and starts another one, count times in a row.
func (w *world) restartInRow(box string, count int) {
	if count == 0 || !w.faultsOn {
		return
	}
	for _, e := range w.endpoints {
		if e.info.Box == box && !e.exited {
			e.exit()
			w.after(w.randomDuration(time.Millisecond, 300*time.Millisecond), func() {
				w.addEndpoint(box)
				w.after(w.randomDuration(50*time.Millisecond, maxYoungAge), func() { w.restartInRow(box, count-1) })
			})
		}
	}
}

// TestRulesHoldForYoungLives guards against a run that its owner takes for ended, or for one that never began, because of what
// calls to an endpoint return that has just started and is cut off soon after.
func TestRulesHoldForYoungLives(t *testing.T) {
	repeated := 0
	checkSeeds(t, testSeeds(100), func(seed uint64, m mutation) *world {
		w := simulateYoungLives(seed, m)
		repeated += w.connections.repeated
		return w
	})
	t.Logf("%d calls were sent twice", repeated)
	assert.Assert(t, repeated > 0, "no call was sent twice")
}

// TestRulesDetectCallsToEarlierLivesAmongYoungOnes checks that a rule is violated if calls to an earlier life reach a later one.
func TestRulesDetectCallsToEarlierLivesAmongYoungOnes(t *testing.T) {
	expectViolation(t, "REMOVED", firstSeeds(999), mutation{unboundCalls: true}, simulateYoungLives)
}

// TestRulesHoldWhileListsLackYoungLives guards against a task that runs twice because a list of boxes that was requested after
// its endpoint had last answered doesn't have the endpoint yet, which has just started and is cut off.
func TestRulesHoldWhileListsLackYoungLives(t *testing.T) {
	checkSeeds(t, testSeeds(60), func(seed uint64, m mutation) *world {
		return simulateYoungLivesWithListLag(seed, m, time.Second)
	})
}
