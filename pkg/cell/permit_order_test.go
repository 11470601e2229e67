package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// newRestartingCell returns a cell beside an advice service that takes 0.49 s for a call, and two queues whose jobs need
// permits. There is capacity for more tasks than the service can decide on.
func newRestartingCell(t *testing.T) *crowdedCell {
	c := newCrowdedCell(t, "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7")
	times := damsonwinch.AdviceTimes{CallTime: 490 * time.Millisecond, PermitTTL: 3 * time.Second}
	c.advice = newSimAdvice(times)
	urgent := damsonwinch.Queue{Name: "first", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 20, TargetLatency: 20 * time.Second, Advice: &times}
	less := urgent
	less.Name, less.Priority = "second", 1
	c.setQueues(urgent, less)
	return c
}

// submitRestarting submits long-running jobs of two tasks each.
func (c *crowdedCell) submitRestarting(queue string, count int) {
	for number := range count {
		c.submit(queue, fmt.Sprintf("%s%d", queue, number), wire.Phase{Count: 2, Cpu: 500, MemoryMb: 100, EstimateMs: 500, Lasting: true})
	}
}

// restartFor lets time pass in which each task ends half a second after its start. between is called after each step.
func (c *crowdedCell) restartFor(duration time.Duration, between func()) {
	for end := c.now.Add(duration); c.now.Before(end); between() {
		c.advice.step(c.now)
		for life, running := range c.running {
			c.running[life] = slices.DeleteFunc(running, func(progress damsonwinch.RunProgress) bool {
				if c.now.Sub(c.startedAt[progress.Run.Task]) < 500*time.Millisecond {
					return false
				}
				c.results[life] = append(c.results[life], damsonwinch.RunResult{Sequence: len(c.results[life]) + 1, Run: progress.Run, Ending: damsonwinch.EndedDone})
				return true
			})
		}
		c.step()
	}
}

// ended returns how many runs of each job have ended.
func (c *crowdedCell) ended() map[string]int {
	counts := map[string]int{}
	for _, results := range c.results {
		for _, result := range results {
			counts[result.Run.Task.Job]++
		}
	}
	return counts
}

// TestNoJobStarvesBesideOthersThatRestart guards against jobs that never start while others of the same priority, which came
// before them, get permits for one restart after the other.
func TestNoJobStarvesBesideOthersThatRestart(t *testing.T) {
	c := newRestartingCell(t)
	c.submitRestarting("first", 16)
	c.restartFor(40*time.Second, func() {})
	ended := c.ended()
	t.Logf("runs of each job that have ended: %v", ended)
	counts := slices.Collect(maps.Values(ended))
	assert.Equal(t, len(counts), 16, "jobs that have started")
	assert.Assert(t, slices.Max(counts) <= 2*slices.Min(counts), "%v", ended)
}

// TestNewJobGetsAPermitBesideOthersThatAskAgain guards against a new job that waits for as long as all jobs together that
// have had turns, or until it is late and for good from then on, while those ask again and again.
func TestNewJobGetsAPermitBesideOthersThatAskAgain(t *testing.T) {
	for name, submit := range map[string]func(c *crowdedCell){
		"restarting": func(c *crowdedCell) { c.submitRestarting("first", 24) },
		"repeated": func(c *crowdedCell) {
			for number := range 4 {
				spec := simSpec(wire.Phase{Count: 1, Cpu: 500, MemoryMb: 100, EstimateMs: 100})
				spec.Rounds, spec.EveryMs, spec.FirstMs = 1000, 300, int(c.now.UnixMilli())
				c.submitSpec("first", fmt.Sprintf("repeated%d", number), spec)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newRestartingCell(t)
			submit(c)
			c.restartFor(25*time.Second, func() {})
			c.submit("first", "new", wire.Phase{Count: 1, Cpu: 500, MemoryMb: 100, EstimateMs: 500})
			c.restartFor(5*time.Second, func() {})
			assert.Equal(t, c.ended()["new"], 1)
		})
	}
}

// TestRestartGetsAPermitBesideNewJobs guards against a long-running task that isn't started again for as long as more new
// jobs come than the service can decide on.
func TestRestartGetsAPermitBesideNewJobs(t *testing.T) {
	c := newRestartingCell(t)
	c.submitRestarting("first", 1)
	number := 0
	c.restartFor(40*time.Second, func() {
		if c.now.UnixMilli()%250 == 0 {
			c.submit("first", fmt.Sprintf("new%d", number), wire.Phase{Count: 1, Cpu: 500, MemoryMb: 100, EstimateMs: 500})
			number++
		}
	})
	ended := c.ended()
	assert.Assert(t, ended["first0"] >= 100, "%d runs", ended["first0"])
	delete(ended, "first0")
	assert.Assert(t, len(ended) >= 40, "%d new jobs have run", len(ended))
}

// TestUrgentJobsGetPermitsFirst guards against urgent jobs that share the turns with less urgent ones, be those new.
func TestUrgentJobsGetPermitsFirst(t *testing.T) {
	alone, beside := newRestartingCell(t), newRestartingCell(t)
	beside.submitRestarting("second", 16)
	for _, c := range []*crowdedCell{alone, beside} {
		c.restartFor(time.Second, func() {})
		c.submitRestarting("first", 5)
		c.restartFor(40*time.Second, func() {})
	}
	for number := range 5 {
		id := fmt.Sprintf("first%d", number)
		runs, least := beside.ended()[id], alone.ended()[id]*4/5
		assert.Assert(t, runs >= least, "%s: %d runs, %d expected", id, runs, least)
	}
}
