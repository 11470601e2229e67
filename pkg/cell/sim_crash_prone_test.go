package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Limits of a simulation with crash-prone queues: clients submit crashProneJobsPerSecond jobs for
// crashProneSubmitTime to a pool of crashProneBoxes boxes. In a crashingShare of the jobs, one task
// crashes each endpoint that starts it. The other jobs are sound. The pool has twice the capacity
// that the jobs need.
const (
	crashProneBoxes         = 14
	crashProneBoxMilliCPU   = 32_000
	crashProneJobsPerSecond = 15
	crashProneSubmitTime    = 10 * time.Second
	crashingShare           = 0.1
	crashProneJobTasks      = 6
	// soundJobDeadline is the time after which a sound job is of no use any more. It is three times
	// what such a job should take.
	soundJobDeadline = 6 * time.Second
)

// crashProneResult sums up the jobs of a simulation with crash-prone queues.
type crashProneResult struct {
	// soundJobs counts the sound jobs, inTime those of them that were done within soundJobDeadline,
	// and givenUp those that were given up.
	soundJobs int
	inTime    int
	// crashingJobs counts the jobs with a crashing task, and crashes the endpoints that such tasks
	// have crashed.
	crashingJobs int
	crashes      int
	// lostRuns counts the runs of sound jobs that were lost with their endpoints.
	lostRuns int
	givenUp  int
	// violation is the first violation of a rule, with the log, or empty.
	violation string
	// lastCrashingEnd is the time from the start of the simulation to the end of the last job with
	// a crashing task.
	lastCrashingEnd time.Duration
}

// simulateCrashProneQueues runs the simulation of a seed. crashAfter returns how long after its
// start a crashing task crashes its endpoint. queues is the number of queues that get jobs.
func simulateCrashProneQueues(seed uint64, crashAfter func(w *world) time.Duration, queues int) crashProneResult {
	w := newWorld(seed, mutation{})
	w.boxCount, w.boxMilliCPU, w.resetsOnExit, w.promptPolls, w.faultsOn = crashProneBoxes, crashProneBoxMilliCPU, true, true, false
	w.setUpWithoutFaults(0)
	endedAt := map[string]time.Time{}
	start := w.now
	for at := time.Duration(0); at < crashProneSubmitTime; at += time.Second / crashProneJobsPerSecond {
		id := fmt.Sprintf("job%d", at.Milliseconds())
		w.after(at+w.randomDuration(0, 50*time.Millisecond), func() {
			c := w.addCrashProneClient(id, queues, crashAfter(w))
			submittedAt := w.now
			var watch func()
			watch = func() {
				c.checkState()
				if c.state == wire.JobStateCompleted || c.state == wire.JobStateFailed {
					endedAt[id] = w.now
					if !w.behaviours[id].crashes && w.now.Sub(submittedAt) > soundJobDeadline {
						delete(endedAt, id)
					}
					return
				}
				w.after(50*time.Millisecond, watch)
			}
			w.after(50*time.Millisecond, watch)
		})
	}
	w.runToEnd()
	result := crashProneResult{violation: w.rules.violation, givenUp: len(w.rules.givenUp)}
	for _, c := range w.clients {
		at, ended := endedAt[c.id]
		if w.behaviours[c.id].crashes {
			result.crashingJobs++
			result.lastCrashingEnd = max(result.lastCrashingEnd, at.Sub(start))
			continue
		}
		result.soundJobs++
		if ended && c.state == wire.JobStateCompleted {
			result.inTime++
		}
	}
	for _, count := range w.rules.crashCounts {
		result.crashes += count
	}
	for task, count := range w.rules.lossCounts {
		if !w.behaviours[task.Job].crashes {
			result.lostRuns += count
		}
	}
	if result.violation != "" {
		result.violation += "\n" + strings.Join(w.log, "\n")
	}
	return result
}

// addCrashProneClient adds a client that submits a job of six tasks, often followed by six more, to
// one of the first queues of simQueues.
func (w *world) addCrashProneClient(id string, queues int, crashAfter time.Duration) *simClient {
	behaviour := taskBehaviour{
		need: damsonwinch.Resources{MilliCPU: 1800, MemoryMB: 100}, duration: w.randomDuration(500*time.Millisecond, 1100*time.Millisecond),
		crashes: w.random.Float64() < crashingShare, crashAfter: crashAfter, crashIndex: w.random.IntN(crashProneJobTasks),
	}
	phase := wire.Phase{Count: crashProneJobTasks, Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 800}
	phases := []wire.Phase{phase}
	if w.random.Float64() < 0.6 {
		phase.After = []int{0}
		phases = append(phases, phase)
	}
	c := &simClient{world: w, id: id, spec: simSpec(phases...), queue: simQueues[w.random.IntN(queues)].Name}
	w.behaviours[id] = behaviour
	w.clients = append(w.clients, c)
	c.submit(0)
	return c
}

// TestSoundJobsFinishBesideManyCrashingTasks guards against a fault with many crashing tasks at a
// time. One job in ten of a queue had a task that crashes each endpoint. Each such task was given
// up after two to five losses, as it should be. But 22 of them crashed 38 endpoints within nine
// seconds, in a pool of some twenty. 1,300 runs of sound jobs were lost, and four in ten of the
// queue's jobs were of no use any more when they were done. The reason was that each loss made some
// twenty tasks suspects, more than could be on probation. They waited for it too long and were then
// started as any other task, beside sound ones again.
//
// Nine in ten sound jobs must be done while they are of use, also if tasks crash their endpoints
// some time after their start, and if two queues have such jobs.
func TestSoundJobsFinishBesideManyCrashingTasks(t *testing.T) {
	afterTenMs := func(*world) time.Duration { return 10 * time.Millisecond }
	for name, test := range map[string]struct {
		crashAfter func(w *world) time.Duration
		queues     int
	}{
		"at once":    {afterTenMs, 1},
		"two queues": {afterTenMs, 2},
		"later":      {func(w *world) time.Duration { return w.randomDuration(40*time.Millisecond, 90*time.Millisecond) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var totals crashProneResult
			for _, seed := range testSeeds(20) {
				result := simulateCrashProneQueues(seed, test.crashAfter, test.queues)
				if result.violation != "" {
					t.Fatalf("seed %d: %s", seed, result.violation)
				}
				t.Logf("seed %d: %d of %d sound jobs in time, %d crashing jobs crashed %d endpoints, %d runs of sound jobs lost, last crashing job ended after %v",
					seed, result.inTime, result.soundJobs, result.crashingJobs, result.crashes, result.lostRuns, result.lastCrashingEnd)
				totals.soundJobs += result.soundJobs
				totals.inTime += result.inTime
				totals.crashingJobs += result.crashingJobs
				totals.crashes += result.crashes
				totals.lostRuns += result.lostRuns
				totals.givenUp += result.givenUp
			}
			t.Logf("%d of %d sound jobs in time, %d given up, %d crashing jobs crashed %d endpoints, %d runs of sound jobs lost", totals.inTime, totals.soundJobs, totals.givenUp, totals.crashingJobs, totals.crashes, totals.lostRuns)
			if totals.inTime*10 < totals.soundJobs*9 {
				t.Errorf("%d of %d sound jobs were done while they were of use", totals.inTime, totals.soundJobs)
			}
			if totals.givenUp*1000 > totals.soundJobs {
				t.Errorf("%d of %d sound jobs were given up", totals.givenUp, totals.soundJobs)
			}
		})
	}
}
