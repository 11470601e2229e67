package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// A crowd of crashing tasks: one queue of a pool of crowdBoxes boxes is sent crowdRate jobs a
// second for crowdTime, and in crowdShare of them one task crashes each endpoint that starts
// it. The pool has twice the room that its work takes.
const (
	crowdBoxes = 14
	crowdCPU   = 32_000
	crowdRate  = 15
	crowdTime  = 10 * time.Second
	crowdShare = 0.1
	crowdTasks = 6
	// crowdLate is when a sound job is of no use any more: three times what it should take.
	crowdLate = 6 * time.Second
)

// crowd is what came of the jobs of one run.
type crowd struct {
	sound     int
	inTime    int
	crashing  int
	crashes   int
	lostRuns  int
	givenUp   int
	brokenBy  string
	lastGiven time.Duration
}

// playCrowd plays one run of a seed. CrashAfter says how long after their start the tasks
// crash their endpoints, and queues how many queues have such jobs.
func playCrowd(seed uint64, crashAfter func(w *world) time.Duration, queues int) crowd {
	w := newWorld(seed, sabotage{})
	w.boxCount, w.boxCPU, w.resets, w.attentive, w.trouble = crowdBoxes, crowdCPU, true, true, false
	w.beginCalm(0)
	endedAt := map[string]time.Time{}
	begun := w.now
	for at := time.Duration(0); at < crowdTime; at += time.Second / crowdRate {
		id := fmt.Sprintf("job%d", at.Milliseconds())
		w.after(at+w.between(0, 50*time.Millisecond), func() {
			c := w.crowdClient(id, queues, crashAfter(w))
			submitted := w.now
			var watch func()
			watch = func() {
				c.look()
				if c.state == wire.JobStateCompleted || c.state == wire.JobStateFailed {
					endedAt[id] = w.now
					if !w.tasks[id].crashes && w.now.Sub(submitted) > crowdLate {
						delete(endedAt, id)
					}
					return
				}
				w.after(50*time.Millisecond, watch)
			}
			w.after(50*time.Millisecond, watch)
		})
	}
	w.finish()
	result := crowd{brokenBy: w.rules.broken, givenUp: len(w.rules.givenUp)}
	for _, c := range w.clients {
		at, ended := endedAt[c.id]
		if w.tasks[c.id].crashes {
			result.crashing++
			result.lastGiven = max(result.lastGiven, at.Sub(begun))
			continue
		}
		result.sound++
		if ended && c.state == wire.JobStateCompleted {
			result.inTime++
		}
	}
	for _, count := range w.rules.crashedUnder {
		result.crashes += count
	}
	for task, count := range w.rules.lostUnder {
		if !w.tasks[task.Job].crashes {
			result.lostRuns += count
		}
	}
	if result.brokenBy != "" {
		result.brokenBy += "\n" + strings.Join(w.log, "\n")
	}
	return result
}

// crowdClient adds a client of one of so many queues with a job of six tasks, often followed by
// six more.
func (w *world) crowdClient(id string, queues int, crashAfter time.Duration) *simClient {
	behaviour := simTask{
		need: damsonwinch.Resources{MilliCPU: 1800, MemoryMB: 100}, length: w.between(500*time.Millisecond, 1100*time.Millisecond),
		crashes: w.random.Float64() < crowdShare, crashAfter: crashAfter, crashIndex: w.random.IntN(crowdTasks),
	}
	phase := wire.Phase{Count: crowdTasks, Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 800}
	phases := []wire.Phase{phase}
	if w.random.Float64() < 0.6 {
		phase.After = []int{0}
		phases = append(phases, phase)
	}
	c := &simClient{world: w, id: id, spec: simSpec(phases...), queue: simQueues[w.random.IntN(queues)].Name}
	w.tasks[id] = behaviour
	w.clients = append(w.clients, c)
	c.submit(0)
	return c
}

// TestACrowdOfCrashingTasks tells a day. One job in ten of a queue had a task that crashes each
// endpoint; each of them was found as it should be, by two to five ends, but 22 of them took 38
// endpoints within nine seconds of a pool of some twenty, 1,300 runs of sound jobs went with
// those, and four in ten of the queue's jobs were of no use when they were done. Each end made
// some twenty suspects, whose trials were more than there was room for: they waited, then
// started as any others, beside sound work again.
//
// Of the sound jobs nine in ten must be done while they are of use, also where tasks crash
// later than at once, and where two queues send them.
func TestACrowdOfCrashingTasks(t *testing.T) {
	soon := func(*world) time.Duration { return 10 * time.Millisecond }
	for name, pattern := range map[string]struct {
		after  func(w *world) time.Duration
		queues int
	}{
		"at once":    {soon, 1},
		"two queues": {soon, 2},
		"later":      {func(w *world) time.Duration { return w.between(40*time.Millisecond, 90*time.Millisecond) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var sum crowd
			for _, seed := range freshSeeds(20) {
				c := playCrowd(seed, pattern.after, pattern.queues)
				if c.brokenBy != "" {
					t.Fatalf("seed %d: %s", seed, c.brokenBy)
				}
				t.Logf("seed %d: %d of %d sound jobs in time, %d crashing ones took %d endpoints, %d sound runs lost, last given up at %v",
					seed, c.inTime, c.sound, c.crashing, c.crashes, c.lostRuns, c.lastGiven)
				sum.sound += c.sound
				sum.inTime += c.inTime
				sum.crashing += c.crashing
				sum.crashes += c.crashes
				sum.lostRuns += c.lostRuns
				sum.givenUp += c.givenUp
			}
			t.Logf("%d of %d sound jobs in time, %d given up, %d crashing ones took %d endpoints, %d sound runs lost", sum.inTime, sum.sound, sum.givenUp, sum.crashing, sum.crashes, sum.lostRuns)
			if sum.inTime*10 < sum.sound*9 {
				t.Errorf("%d of %d sound jobs were done while they were of use", sum.inTime, sum.sound)
			}
			if sum.givenUp*1000 > sum.sound {
				t.Errorf("%d of %d sound jobs were given up", sum.givenUp, sum.sound)
			}
		})
	}
}
