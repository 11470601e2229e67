package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// restartRounds is the number of times that endpoints restart and are cut off in a simulation.
const restartRounds = 3

// simulateRestartsAndCuts runs the simulation of a seed in which several endpoints restart under their IDs at once, and are
// cut off from all owners soon after, while long tasks run.
func simulateRestartsAndCuts(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	// A task that fails has three attempts of up to 5 s, and two of them may wait for each other's boxes.
	w.sharedIDs, w.maxTaskTime, w.maxCompletionGap = true, 5*time.Second, 20*time.Second
	w.resetsOnExit, w.promptPolls = seed%4 == 0, seed%3 == 0
	w.setUpWithoutFaults(defaultJobs)
	w.after(0, w.restarts.check)
	for range restartRounds {
		w.after(w.randomDuration(500*time.Millisecond, simFaultTime*3/4), w.restartAndCut)
	}
	w.runToEnd()
	return w
}

// restartAndCut ends most endpoints at once. Each starts again soon, and is cut off from the present owner and the next ones
// up to two seconds after that. The owner may be killed in between.
func (w *world) restartAndCut() {
	if !w.faultsOn {
		return
	}
	owner := len(w.owners) - 1
	downTime := w.randomDuration(100*time.Millisecond, 700*time.Millisecond)
	cutAfter := downTime + w.randomDuration(0, 2*time.Second)
	cutTime := w.randomDuration(time.Second, 8*time.Second)
	for number := range w.boxCount {
		if w.random.Float64() < 0.3 {
			continue
		}
		box := fmt.Sprintf("box-%d", number)
		for _, e := range w.endpoints {
			if e.info.Box == box && !e.exited {
				e.exit()
				w.after(downTime, func() { w.addEndpoint(box) })
			}
		}
		w.logf("%s restarts after %v and is cut off after %v for %v", box, downTime, cutAfter, cutTime)
		for next := range 3 {
			w.cutDuring(string(rune('A'+(owner+next)%26)), box, cutAfter, cutTime)
		}
	}
	if w.random.Float64() < 0.4 {
		w.after(w.randomDuration(0, cutAfter+500*time.Millisecond), w.replaceOwner)
	}
}

// cutDuring cuts an owner and a box off from each other for a time that begins after a delay.
func (w *world) cutDuring(owner, box string, delay, duration time.Duration) {
	w.after(delay, func() { w.cuts[owner+box] = w.faultsOn })
	w.after(delay+duration, func() { delete(w.cuts, owner+box) })
}

// failedRestartCutSeeds are seeds in which a sound task was given up by number, and its job shown as failed: starts that its
// endpoints had never carried out counted as starts after three losses.
var failedRestartCutSeeds = []uint64{2098, 7000105}

// TestRulesHoldWhenRestartedEndpointsAreCutOff guards against tasks that run twice because their endpoint started again under
// its ID shortly before it was cut off, and finished them meanwhile.
func TestRulesHoldWhenRestartedEndpointsAreCutOff(t *testing.T) {
	checkSeeds(t, append(slices.Clone(failedRestartCutSeeds), testSeeds(200)...), simulateRestartsAndCuts)
}

// TestRulesDetectPollsInALaterLife checks that a rule is violated if polls that were meant for an earlier life, with its numbers
// of results, acknowledge results of a later one.
func TestRulesDetectPollsInALaterLife(t *testing.T) {
	expectViolation(t, "TWICE", firstSeeds(999), mutation{unboundCalls: true}, simulateRestartsAndCuts)
}
