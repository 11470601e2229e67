package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

const (
	// longRunningRestartBound is how long a long-running task that has lost its endpoint may wait
	// where another endpoint of the cell could hold it beside the other long-running tasks there.
	longRunningRestartBound = 3 * time.Second
	// loadTime is how long the short jobs of the test keep all boxes busy, and loadInterval the time
	// between two of them.
	loadTime     = 10 * time.Second
	loadInterval = 100 * time.Millisecond
)

// TestLongRunningTaskIsNotStarvedByShortTasks guards against a long-running task that waits for the
// whole of a burst: each short task that ended left room for another short one and never for it.
func TestLongRunningTaskIsNotStarvedByShortTasks(t *testing.T) {
	for _, seed := range testSeeds(20) {
		w := newWorld(seed, mutation{})
		w.faultsOn = false
		w.boxCount, w.boxMilliCPU, w.promptPolls, w.resetsOnExit = 2, 8000, true, true
		w.setUpWithoutFaults(0)
		const longRunningMilliCPU = 6000
		longRunning := simSpec(longRunningPhase(longRunningMilliCPU))
		w.addClient("lasts", longRunning, taskBehaviour{need: damsonwinch.Resources{MilliCPU: longRunningMilliCPU, MemoryMB: 500}, longRunning: true})
		task := damsonwinch.TaskID{Job: "lasts"}
		w.run(w.startedAt.Add(time.Second))
		assert.Equal(t, w.rules.activeRuns[task], 1, "seed %d", seed)

		for number := range int(loadTime / loadInterval) {
			w.after(time.Duration(number)*loadInterval, func() { w.addShortClient(fmt.Sprintf("short%03d", number)) })
		}
		w.run(w.now.Add(2 * time.Second))
		w.endpointOf(task).exit()
		w.run(w.now.Add(longRunningRestartBound))
		assert.Equal(t, w.rules.activeRuns[task], 1, "seed %d\n%s", seed, strings.Join(w.log, "\n"))
		assert.Equal(t, w.rules.violation, "", "seed %d", seed)
	}
}

// longRunningPhase returns a phase with one long-running task.
func longRunningPhase(milliCPU int) wire.Phase {
	return wire.Phase{Count: 1, Cpu: milliCPU, MemoryMb: 500, EstimateMs: 300, Lasting: true, AwayAtMost: 1}
}

// addShortClient adds a client with a job of four short tasks that take 0.3 to 0.6 s.
func (w *world) addShortClient(id string) {
	const milliCPU = 2000
	phase := wire.Phase{Count: 4, Cpu: milliCPU, MemoryMb: 500, EstimateMs: 500}
	w.addClient(id, simSpec(phase), taskBehaviour{
		need: damsonwinch.Resources{MilliCPU: milliCPU, MemoryMB: 500}, duration: w.randomDuration(300*time.Millisecond, 600*time.Millisecond),
	})
}

// endpointOf returns the endpoint where a task runs.
func (w *world) endpointOf(task damsonwinch.TaskID) *simEndpoint {
	for _, e := range w.endpoints {
		for run := range e.runs {
			if run.Task == task && !e.exited {
				return e
			}
		}
	}
	return nil
}
