package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// A crowd of crashing tasks: one queue of a pool of crashProneBoxes boxes is sent crashProneJobsPerSecond jobs a
// second for crashProneSubmitTime, and in crashingShare of them one task crashes each endpoint that starts
// it. The pool has twice the room that its work takes.
const (
	crashProneBoxes         = 14
	crashProneBoxMilliCPU   = 32_000
	crashProneJobsPerSecond = 15
	crashProneSubmitTime    = 10 * time.Second
	crashingShare           = 0.1
	crashProneJobTasks      = 6
	// soundJobDeadline is when a sound job is of no use any more: three times what it should take.
	soundJobDeadline = 6 * time.Second
)

// crashProneResult is what came of the jobs of one run.
type crashProneResult struct {
	soundJobs       int
	inTime          int
	crashingJobs    int
	crashes         int
	lostRuns        int
	givenUp         int
	violation       string
	lastCrashingEnd time.Duration
}

// simulateCrashProneQueues plays one run of a seed. CrashAfter says how long after their start the tasks
// crash their endpoints, and queues how many queues have such jobs.
func simulateCrashProneQueues(seed uint64, crashAfter func(w *world) time.Duration, queues int) crashProneResult {
	w := newWorld(seed, mutation{})
	w.boxCount, w.boxMilliCPU, w.resetsOnExit, w.promptPolls, w.faultsOn = crashProneBoxes, crashProneBoxMilliCPU, true, true, false
	w.setUpWithoutFaults(0)
	endedAt := map[string]time.Time{}
	begun := w.now
	for at := time.Duration(0); at < crashProneSubmitTime; at += time.Second / crashProneJobsPerSecond {
		id := fmt.Sprintf("job%d", at.Milliseconds())
		w.after(at+w.randomDuration(0, 50*time.Millisecond), func() {
			c := w.addCrashProneClient(id, queues, crashAfter(w))
			submitted := w.now
			var watch func()
			watch = func() {
				c.checkState()
				if c.state == wire.JobStateCompleted || c.state == wire.JobStateFailed {
					endedAt[id] = w.now
					if !w.behaviours[id].crashes && w.now.Sub(submitted) > soundJobDeadline {
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
			result.lastCrashingEnd = max(result.lastCrashingEnd, at.Sub(begun))
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

// addCrashProneClient adds a client of one of so many queues with a job of six tasks, often followed by
// six more.
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

// TestSoundJobsFinishBesideManyCrashingTasks tells a day. One job in ten of a queue had a task that crashes each
// endpoint; each of them was found as it should be, by two to five ends, but 22 of them took 38
// endpoints within nine seconds of a pool of some twenty, 1,300 runs of sound jobs went with
// those, and four in ten of the queue's jobs were of no use when they were done. Each end made
// some twenty suspects, whose trials were more than there was room for: they waited, then
// started as any others, beside sound work again.
//
// Of the sound jobs nine in ten must be done while they are of use, also where tasks crash
// later than at once, and where two queues send them.
func TestSoundJobsFinishBesideManyCrashingTasks(t *testing.T) {
	soon := func(*world) time.Duration { return 10 * time.Millisecond }
	for name, pattern := range map[string]struct {
		after  func(w *world) time.Duration
		queues int
	}{
		"at once":    {soon, 1},
		"two queues": {soon, 2},
		"later":      {func(w *world) time.Duration { return w.randomDuration(40*time.Millisecond, 90*time.Millisecond) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var sum crashProneResult
			for _, seed := range testSeeds(20) {
				c := simulateCrashProneQueues(seed, pattern.after, pattern.queues)
				if c.violation != "" {
					t.Fatalf("seed %d: %s", seed, c.violation)
				}
				t.Logf("seed %d: %d of %d sound jobs in time, %d crashing ones took %d endpoints, %d sound runs lost, last given up at %v",
					seed, c.inTime, c.soundJobs, c.crashingJobs, c.crashes, c.lostRuns, c.lastCrashingEnd)
				sum.soundJobs += c.soundJobs
				sum.inTime += c.inTime
				sum.crashingJobs += c.crashingJobs
				sum.crashes += c.crashes
				sum.lostRuns += c.lostRuns
				sum.givenUp += c.givenUp
			}
			t.Logf("%d of %d sound jobs in time, %d given up, %d crashing ones took %d endpoints, %d sound runs lost", sum.inTime, sum.soundJobs, sum.givenUp, sum.crashingJobs, sum.crashes, sum.lostRuns)
			if sum.inTime*10 < sum.soundJobs*9 {
				t.Errorf("%d of %d sound jobs were done while they were of use", sum.inTime, sum.soundJobs)
			}
			if sum.givenUp*1000 > sum.soundJobs {
				t.Errorf("%d of %d sound jobs were given up", sum.givenUp, sum.soundJobs)
			}
		})
	}
}
