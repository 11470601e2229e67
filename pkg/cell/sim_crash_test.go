package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Limits of a simulation with tasks that crash their endpoints. crashingJobs is the number of jobs
// with such a task, beside crashJobs other jobs.
const (
	crashBoxes   = 10
	crashJobs    = 40
	crashingJobs = 2
	// maxCrashDelay is the longest time from the start of a task until it crashes its endpoint.
	maxCrashDelay = 800 * time.Millisecond
)

// simulateCrashingTasks runs the simulation of a seed with random faults, sound jobs, whose tasks
// do not crash endpoints, and two jobs with a task that crashes each endpoint that starts it.
func simulateCrashingTasks(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.boxCount = crashBoxes
	w.promptPolls = true
	w.resetsOnExit = w.random.Float64() < 0.7
	w.setUp(crashJobs)
	for number := range crashingJobs {
		w.after(w.randomDuration(0, simFaultTime*3/4), func() { w.addCrashingClient(fmt.Sprintf("crashing%d", number)) })
	}
	w.runToEnd()
	return w
}

// addCrashingClient adds a client with a job whose first task crashes its endpoints. Most of these
// tasks do so 10 ms after the start, the others up to maxCrashDelay after it.
func (w *world) addCrashingClient(id string) {
	behaviour := taskBehaviour{
		need: damsonwinch.Resources{MilliCPU: 1000 + w.random.IntN(3000), MemoryMB: 500}, duration: w.randomDuration(500*time.Millisecond, 1500*time.Millisecond),
		crashes: true, crashAfter: 10 * time.Millisecond,
	}
	if w.random.Float64() < 0.3 {
		behaviour.crashAfter = w.randomDuration(time.Millisecond, min(behaviour.duration, maxCrashDelay)-time.Millisecond)
	}
	phase := wire.Phase{Count: 1 + w.random.IntN(4), Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 300}
	switch draw := w.random.Float64(); {
	case draw < 0.2:
		behaviour.longRunning, behaviour.need.MilliCPU = true, 300
		phase.Lasting, phase.AwayAtMost, phase.Cpu = true, 1, 300
	case draw < 0.4:
		phase.Copies = true
	}
	c := w.addClient(id, simSpec(phase), behaviour)
	w.after(300*time.Millisecond, c.watchState)
}

// TestSimulationIsDeterministic makes sure that a seed which has found a fault finds it again.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		first, second := simulateCrashingTasks(seed, mutation{}), simulateCrashingTasks(seed, mutation{})
		assert.DeepEqual(t, first.log, second.log)
	}
}

// failedCrashSeeds are seeds that once violated a rule:
//   - 6583: the owner noticed 0.2 s late that an endpoint had exited. So the task that had crashed
//     it seemed to have reached the age at which earlier losses no longer count against a task.
//   - 10685 and 11009: an owner that continued after a pause took that moment for the time of
//     everything it received then.
//   - 20784: a start was never carried out. Its endpoint answered 2 s later and exited, so that the task
//     seemed to have reached the age at which earlier losses no longer count.
//   - 31400: a task crashed an endpoint where another one was on probation, which was blamed. The loss
//     counted against none of the others.
var failedCrashSeeds = []uint64{6583, 10685, 11009, 20784, 31400}

// TestTasksThatCrashTheirEndpointsAreGivenUp guards against a fault that took down most of a pool.
// Two tasks crashed each endpoint 10 ms after their start there, and some twenty other tasks were
// lost with it. Only results that endpoints report counted against a task, and not the loss of an
// endpoint. So both tasks were started again within 0.4 s, 292 and 329 times in 90 s, and after
// four seconds 30 of the pool's 39 boxes were down at a time. It needed neither a change of owners
// nor expired leases.
//
// Here two jobs with such a task run beside forty sound jobs, with crashes, network cuts, new
// owners and refused calls to the store. A task that has crashed three endpoints must be started
// fewer than three times after that. Both jobs must end, but a long-running one must go on with its
// other tasks. The tasks of sound jobs often lose their endpoints; at most one sound job in a
// thousand may be given up.
func TestTasksThatCrashTheirEndpointsAreGivenUp(t *testing.T) {
	seeds := append(slices.Clone(failedCrashSeeds), testSeeds(300)...)
	totals := simulateCrashingSeeds(seeds, mutation{})
	if totals.violation != "" {
		t.Fatal(totals.violation)
	}
	t.Logf("%d seeds, %d starts, %d of %d sound jobs given up, their runs lost %d times", len(seeds), totals.starts, totals.givenUp, totals.soundJobs, totals.lostRuns)
	if totals.tooManyGivenUp() {
		t.Fatalf("%d of %d sound jobs were given up", totals.givenUp, totals.soundJobs)
	}
}

// crashTotals sums up simulations with tasks that crash their endpoints.
type crashTotals struct {
	// violation is the first violation of a rule with its seed and log, or empty.
	violation string
	starts    int
	// soundJobs counts the sound jobs, givenUp those of them that were given up, and lostRuns how
	// many of their runs were lost with their endpoints.
	soundJobs int
	givenUp   int
	lostRuns  int
}

// tooManyGivenUp reports whether more than one sound job in a thousand was given up.
func (t crashTotals) tooManyGivenUp() bool {
	return t.givenUp*1000 > t.soundJobs
}

// simulateCrashingSeeds runs simulateCrashingTasks for all seeds, or until a rule is violated.
func simulateCrashingSeeds(seeds []uint64, m mutation) crashTotals {
	var totals crashTotals
	for _, seed := range seeds {
		w := simulateCrashingTasks(seed, m)
		if w.rules.violation != "" {
			totals.violation = fmt.Sprintf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
			return totals
		}
		totals.starts += w.rules.startCount
		totals.soundJobs += crashJobs
		totals.givenUp += len(w.rules.givenUp)
		for task, count := range w.rules.lossCounts {
			if !w.behaviours[task.Job].crashes {
				totals.lostRuns += count
			}
		}
	}
	return totals
}

// TestCrashRulesDetectDisabledMechanisms disables one mechanism after another. With some seed that
// must violate a rule, or too many sound jobs must be given up.
func TestCrashRulesDetectDisabledMechanisms(t *testing.T) {
	for name, m := range map[string]mutation{
		"losses count against no task": {ignoreLosses: true},
		"given up by count alone":      {giveUpByCount: true},
		"records without crashes":      {dropCrashes: true},
	} {
		t.Run(name, func(t *testing.T) {
			totals := simulateCrashingSeeds(testSeeds(100), m)
			if totals.violation == "" && !totals.tooManyGivenUp() {
				t.Fatalf("no seed violated a rule without the mechanism, and only %d of %d sound jobs were given up", totals.givenUp, totals.soundJobs)
			}
			violation, _, _ := strings.Cut(totals.violation, "\n")
			t.Logf("%s; %d of %d sound jobs given up", violation, totals.givenUp, totals.soundJobs)
		})
	}
}

// crashInterval is the time between two crashes in TestFrequentUnrelatedCrashesGiveUpNoTasks.
const crashInterval = 800 * time.Millisecond

// TestFrequentUnrelatedCrashesGiveUpNoTasks simulates tasks that crash no endpoints, while one of
// ten endpoints crashes every 0.8 s. So tasks lose their endpoints again and again, also on
// probation. When each loss had the same weight, seven of 870 sound jobs were given up in such
// conditions. Some were long-running, and their other tasks were stopped. At most one job in a
// thousand may be given up.
func TestFrequentUnrelatedCrashesGiveUpNoTasks(t *testing.T) {
	seeds := testSeeds(150)
	soundJobs, givenUp := 0, 0
	for _, seed := range seeds {
		w := newWorld(seed, mutation{})
		w.boxCount, w.resetsOnExit, w.promptPolls = crashBoxes, true, true
		w.setUpWithoutFaults(crashJobs)
		for at := crashInterval; at < simFaultTime; at += crashInterval {
			w.after(at, func() { w.crashBox(fmt.Sprintf("box-%d", w.random.IntN(crashBoxes))) })
		}
		w.runToEnd()
		assert.Equal(t, w.rules.violation, "", "seed %d:\n%s", seed, strings.Join(w.log, "\n"))
		soundJobs += crashJobs
		givenUp += len(w.rules.givenUp)
	}
	t.Logf("%d seeds, %d of %d sound jobs given up", len(seeds), givenUp, soundJobs)
	assert.Assert(t, givenUp*1000 <= soundJobs, "%d of %d sound jobs were given up", givenUp, soundJobs)
}
