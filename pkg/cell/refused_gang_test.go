package cell_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// stepWithStops lets some time pass as step does. Endpoints also carry out stops, at once.
func (c *crowdedCell) stepWithStops() {
	c.cell.ConfirmOwnership(c.now)
	c.cell.Tick(c.now)
	for range 4 {
		effects := c.cell.TakeEffects()
		for _, stop := range effects.Stops {
			life, stopped := stop.Endpoint.Life, stop.Request.Run
			isStopped := func(progress damsonwinch.RunProgress) bool { return progress.Run == stopped }
			if slices.ContainsFunc(c.running[life], isStopped) {
				c.running[life] = slices.DeleteFunc(c.running[life], isStopped)
				c.results[life] = append(c.results[life], damsonwinch.RunResult{Sequence: len(c.results[life]) + 1, Run: stopped, Ending: damsonwinch.EndedStopped})
			}
			c.cell.Stopped(c.now, life, stopped, nil)
		}
		c.answer(effects)
	}
	c.now = c.now.Add(crowdedCellStep)
}

// runningTasks returns the number of runs of a job that the endpoints have.
func (c *crowdedCell) runningTasks(job string) int {
	count := 0
	for _, running := range c.running {
		for _, progress := range running {
			if progress.Run.Task.Job == job {
				count++
			}
		}
	}
	return count
}

// TestRefusedGangIsTriedOnAllEndpoints guards against a gang that waits without end beside idle endpoints that would accept all
// its members: those that others accept forget which endpoints have refused them, and are refused there in the next try.
func TestRefusedGangIsTriedOnAllEndpoints(t *testing.T) {
	for name, refusal := range map[string]error{"no capacity": damsonwinch.ErrNoCapacity, "endpoints of two versions": damsonwinch.ErrInvalid} {
		t.Run(name, func(t *testing.T) {
			c := newCrowdedCell(t, "a", "b", "c", "d", "e", "f", "g")
			for _, id := range []string{"a", "b"} {
				c.faults.refusals[id] = refusal
			}
			c.submit("first", "gang", wire.Phase{Count: 3, Cpu: 3000, MemoryMb: 500, EstimateMs: 60_000, Gang: true})
			for end := c.now.Add(60 * time.Second); c.now.Before(end); {
				c.stepWithStops()
			}
			assert.Equal(t, c.runningTasks("gang"), 3, "%v", c.cell.Explain("gang"))
		})
	}
}
