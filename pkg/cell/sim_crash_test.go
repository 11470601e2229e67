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

// A run with tasks that crash their endpoints: so many boxes, jobs, and jobs of that kind.
const (
	crashBoxes   = 10
	crashJobs    = 40
	crashingJobs = 2
	// maxCrashDelay is how long after its start a task crashes its endpoint at the latest.
	maxCrashDelay = 800 * time.Millisecond
)

// simulateCrashingTasks plays one run of a seed in which two jobs have a task that crashes each
// endpoint that starts it, among many that don't, beside all other trouble.
func simulateCrashingTasks(seed uint64, broken mutation) *world {
	w := newWorld(seed, broken)
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

// addCrashingClient adds a client with a job whose first task crashes its endpoints: mostly
// some milliseconds after its start, at times much later.
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

// TestSimulationIsDeterministic, so that a seed that shows a fault shows it again.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		first, second := simulateCrashingTasks(seed, mutation{}), simulateCrashingTasks(seed, mutation{})
		assert.DeepEqual(t, first.log, second.log)
	}
}

// failedCrashSeeds are kept with what they found: 6583, an end that was heard of 0.2 s late seemed to
// be that of a task which had outlived what was held against it; 10685 and 11009, an owner that
// woke from a freeze took the moment for that of all it heard then.
var failedCrashSeeds = []uint64{6583, 10685, 11009}

// TestTasksThatCrashTheirEndpointsAreGivenUp tells an incident. Two tasks ended each
// endpoint 10 ms after it had started them, with some twenty other tasks; they were made
// ready at once and started again, 292 and 329 times in 90 s, and after four seconds 30 of
// their pool's 39 boxes were down at a time. Only ends that an endpoint reports counted
// against a task; the end of an endpoint was none. What proved it: one owner throughout,
// nothing lapsed, and an attempt of both within 0.4 s after each endpoint that was lost.
//
// Here two such tasks run among forty jobs, with crashes, cuts, takeovers and partitions
// that are turned away. Neither may be started three times after it has crashed three
// endpoints; both jobs must end, a lasting one must go on with its other tasks; and of the others, whose tasks lose their places again and
// again, at most one in a thousand may be given up.
func TestTasksThatCrashTheirEndpointsAreGivenUp(t *testing.T) {
	seeds := append(slices.Clone(failedCrashSeeds), testSeeds(300)...)
	sum := simulateCrashingSeeds(seeds, mutation{})
	if sum.violation != "" {
		t.Fatal(sum.violation)
	}
	t.Logf("%d seeds, %d starts, %d of %d sound jobs given up, their runs lost %d times", len(seeds), sum.starts, sum.givenUp, sum.soundJobs, sum.lostRuns)
	if sum.tooManyGivenUp() {
		t.Fatalf("%d of %d sound jobs were given up", sum.givenUp, sum.soundJobs)
	}
}

// crashTotals sums up runs with tasks that crash their endpoints.
type crashTotals struct {
	violation string
	starts    int
	// soundJobs counts sound soundJobs, givenUp those that were given up, and lost the runs of theirs
	// that went with their endpoints.
	soundJobs int
	givenUp   int
	lostRuns  int
}

func (s crashTotals) tooManyGivenUp() bool {
	return s.givenUp*1000 > s.soundJobs
}

// simulateCrashingSeeds plays seeds until a rule is broken.
func simulateCrashingSeeds(seeds []uint64, broken mutation) crashTotals {
	var sum crashTotals
	for _, seed := range seeds {
		w := simulateCrashingTasks(seed, broken)
		if w.rules.violation != "" {
			sum.violation = fmt.Sprintf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
			return sum
		}
		sum.starts += w.rules.startCount
		sum.soundJobs += crashJobs
		sum.givenUp += len(w.rules.givenUp)
		for task, count := range w.rules.lossCounts {
			if !w.behaviours[task.Job].crashes {
				sum.lostRuns += count
			}
		}
	}
	return sum
}

// TestCrashRulesDetectDisabledMechanisms takes out one mechanism after the other: some seed
// must find that.
func TestCrashRulesDetectDisabledMechanisms(t *testing.T) {
	for name, broken := range map[string]mutation{
		"no blame":                {ignoreLosses: true},
		"blame by count alone":    {giveUpByCount: true},
		"records without crashes": {dropCrashes: true},
	} {
		t.Run(name, func(t *testing.T) {
			sum := simulateCrashingSeeds(testSeeds(100), broken)
			if sum.violation == "" && !sum.tooManyGivenUp() {
				t.Fatalf("no seed found that the mechanism is missing; %d of %d sound jobs given up", sum.givenUp, sum.soundJobs)
			}
			rule, _, _ := strings.Cut(sum.violation, "\n")
			t.Logf("%s; %d of %d sound jobs given up", rule, sum.givenUp, sum.soundJobs)
		})
	}
}

// crashInterval is the time between two crashes in a series of them.
const crashInterval = 800 * time.Millisecond

// TestFrequentUnrelatedCrashesGiveUpNoTasks: no task crashes its endpoint here, but one of ten endpoints
// ends each 0.8 s, so that a task loses its place again and again, also where it is on trial.
// When each end weighed the same, seven of 870 sound jobs were given up on such a day, lasting
// ones among them, whose other tasks were stopped.
func TestFrequentUnrelatedCrashesGiveUpNoTasks(t *testing.T) {
	seeds := testSeeds(150)
	jobs, givenUp := 0, 0
	for _, seed := range seeds {
		w := newWorld(seed, mutation{})
		w.boxCount, w.resetsOnExit, w.promptPolls = crashBoxes, true, true
		w.setUpWithoutFaults(crashJobs)
		for at := crashInterval; at < simFaultTime; at += crashInterval {
			w.after(at, func() { w.crashBox(fmt.Sprintf("box-%d", w.random.IntN(crashBoxes))) })
		}
		w.runToEnd()
		assert.Equal(t, w.rules.violation, "", "seed %d:\n%s", seed, strings.Join(w.log, "\n"))
		jobs += crashJobs
		givenUp += len(w.rules.givenUp)
	}
	t.Logf("%d seeds, %d of %d sound jobs given up", len(seeds), givenUp, jobs)
	assert.Assert(t, givenUp*1000 <= jobs, "%d of %d sound jobs were given up", givenUp, jobs)
}
