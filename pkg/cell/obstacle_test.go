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

// obstacleCase is a reason for which nothing of the phase starts on endpoint b, which has room for it.
type obstacleCase struct {
	name string
	// arrange makes the reason hold. Endpoint a is full of a long-running task.
	arrange func(c *crowdedCell)
	// phase is the long-running phase that waits, if it isn't the usual one.
	phase *wire.Phase
	// explained is a part of the explanation of why the task waits.
	explained string
	// end ends the cause of the reason, if the task can start on b then. It starts within endsWithin.
	end        func(c *crowdedCell)
	endsWithin time.Duration
	// wants is how many boxes the cell asks for once the task has waited.
	wants int
}

// usualPhase is a phase with one long-running task that fits on an empty endpoint only.
func usualPhase() wire.Phase {
	return wire.Phase{Count: 1, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true}
}

// relist changes the registration of endpoint b.
func (c *crowdedCell) relist(change func(info *damsonwinch.Endpoint)) {
	change(&c.listed[1])
	c.cell.SetEndpoints(c.now, c.listed)
}

// ejectBesideShortRun has endpoint b ejected, and then probed with a short task that lasts.
func (c *crowdedCell) ejectBesideShortRun() {
	c.submit("first", "fails", wire.Phase{Count: 2, Cpu: 500, MemoryMb: 500, EstimateMs: 60_000})
	c.runFor(100 * time.Millisecond)
	c.finishOldest("b", damsonwinch.EndedFailed)
	c.finishOldest("b", damsonwinch.EndedFailed)
	c.runFor(3 * time.Second)
}

// acceptStarts has endpoint b accept starts again.
func (c *crowdedCell) acceptStarts() {
	c.faults.refusals["b"] = nil
}

func obstacleCases() []obstacleCase {
	return []obstacleCase{
		{name: "none", arrange: func(*crowdedCell) {}},
		{name: "silent", explained: "do not answer", wants: 1, arrange: func(c *crowdedCell) {
			c.faults.losses["b"] = neverAnswers
			c.runFor(2 * time.Second)
		}, end: func(c *crowdedCell) { c.faults.losses["b"] = 0 }, endsWithin: time.Second},
		{name: "never answered", explained: "have not answered yet", wants: 1, arrange: func(c *crowdedCell) {
			c.faults.losses["new"] = neverAnswers
			c.relist(func(info *damsonwinch.Endpoint) { info.Life.ID = "new" })
			c.runFor(2 * time.Second)
		}},
		{name: "unlisted", wants: 1, arrange: func(c *crowdedCell) {
			c.listed = c.listed[:1]
			c.cell.SetEndpoints(c.now, c.listed)
		}},
		{name: "draining", explained: "drain", wants: 1, arrange: func(c *crowdedCell) {
			c.relist(func(info *damsonwinch.Endpoint) { info.Draining = true })
		}, end: func(c *crowdedCell) {
			c.relist(func(info *damsonwinch.Endpoint) { info.Draining = false })
		}, endsWithin: 100 * time.Millisecond},
		{name: "to be withdrawn", explained: "are being withdrawn", wants: 1, arrange: func(c *crowdedCell) {
			c.cell.ApplySync(c.now, wire.SyncArgs{Withdraw: []string{"b"}})
		}, end: func(c *crowdedCell) {
			c.cell.ApplySync(c.now, wire.SyncArgs{Restore: []string{"b"}})
		}, endsWithin: 100 * time.Millisecond},
		{name: "unknown runs", explained: "should not be there", wants: 1, arrange: func(c *crowdedCell) {
			stray := damsonwinch.Run{Task: damsonwinch.TaskID{Job: "unknown"}, Attempt: 1}
			c.faults.strays["b"] = []damsonwinch.RunProgress{{Run: stray}}
			c.runFor(2 * time.Second)
		}, end: func(c *crowdedCell) { c.faults.strays["b"] = nil }, endsWithin: 500 * time.Millisecond},
		{name: "suspected", explained: "leave many calls unanswered", wants: 1, arrange: func(c *crowdedCell) {
			c.faults.losses["b"] = 2
			c.runFor(20 * time.Second)
		}, end: func(c *crowdedCell) { c.faults.losses["b"] = 0 }, endsWithin: 2 * time.Second},
		{name: "probed with a short task", explained: "are unhealthy and probed with another task", wants: 1, arrange: (*crowdedCell).ejectBesideShortRun, end: func(c *crowdedCell) {
			c.finishOldest("b", damsonwinch.EndedDone)
		}, endsWithin: 100 * time.Millisecond},
		{name: "refuses starts as unhealthy", wants: 1, arrange: func(c *crowdedCell) {
			c.faults.refusals["b"] = damsonwinch.ErrUnhealthy
		}, end: (*crowdedCell).acceptStarts, endsWithin: 4 * time.Second},
		{name: "refuses starts for lack of capacity", wants: 1, arrange: func(c *crowdedCell) {
			c.faults.refusals["b"] = damsonwinch.ErrNoCapacity
		}, end: (*crowdedCell).acceptStarts, endsWithin: 4 * time.Second},
		{name: "capacity not known", explained: "how much room they have", wants: 1, arrange: func(c *crowdedCell) {
			c.cell.SetRejectsOverload(c.now, false)
		}, end: func(c *crowdedCell) {
			c.relist(func(info *damsonwinch.Endpoint) { info.SeenAt = c.now })
		}, endsWithin: 100 * time.Millisecond},
		{name: "task of the phase there", explained: "enough tasks of this phase", wants: 1, phase: &wire.Phase{Count: 2, Cpu: 1000, MemoryMb: 500, EstimateMs: 300, Lasting: true, MostPerBox: 1}, arrange: func(*crowdedCell) {}},
		{name: "reserved for another task", wants: 1, phase: &wire.Phase{Count: 2, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true}, arrange: func(c *crowdedCell) {
			c.submit("first", "short", wire.Phase{Count: 1, Cpu: 2000, MemoryMb: 500, EstimateMs: 10_000})
			c.runFor(6500 * time.Millisecond)
		}},
		{name: "label", explained: "lack the label", phase: &wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, EstimateMs: 300, Lasting: true, Label: "special"}, arrange: func(*crowdedCell) {}},
		{name: "no box has a GPU", explained: "lack GPUs", phase: &wire.Phase{Count: 1, Cpu: 1000, MemoryMb: 500, Gpu: 1, EstimateMs: 300, Lasting: true}, arrange: func(*crowdedCell) {}},
	}
}

// churn lets time pass while a short task ends on an endpoint each 100 ms.
func (c *crowdedCell) churn(id string, duration time.Duration) {
	const interval = 100 * time.Millisecond
	for range int(duration / interval) {
		c.runFor(interval)
		c.finishOldest(id, damsonwinch.EndedDone)
	}
}

// TestEndpointThatRefusesStartsIsNotReserved guards against a long-running task that waits for an endpoint
// that refuses all starts, while short tasks follow each other on the one that could run it.
func TestEndpointThatRefusesStartsIsNotReserved(t *testing.T) {
	for _, refusal := range []error{damsonwinch.ErrUnhealthy, damsonwinch.ErrNoCapacity} {
		c := newCrowdedCell(t, "a", "b")
		c.faults.refusals["b"] = refusal
		c.submit("first", "short", wire.Phase{Count: 400, Cpu: 2000, MemoryMb: 500, EstimateMs: 300})
		c.churn("a", 2*time.Second)
		c.submit("first", "lasts", usualPhase())
		c.churn("a", 6*time.Second)
		assert.Assert(t, c.hasStarted("lasts", 0), "%v: %v", refusal, c.cell.Explain("lasts"))
	}
}

// TestBoxIsAskedForWhereEachEndpointIsUnsuitable guards against a long-running task that waits without end
// beside an endpoint with room for it, because the cell counts on that endpoint and asks for no box, and against one
// that waits on after the endpoint has become suitable.
func TestBoxIsAskedForWhereEachEndpointIsUnsuitable(t *testing.T) {
	for _, test := range obstacleCases() {
		t.Run(strings.ReplaceAll(test.name, " ", "-"), func(t *testing.T) {
			c := newCrowdedCell(t, "a", "b")
			c.submit("first", "fills-a", wire.Phase{Count: 1, Cpu: 4000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
			c.runFor(time.Second)
			assert.Equal(t, c.startedOn[damsonwinch.TaskID{Job: "fills-a"}].ID, "a")
			test.arrange(c)
			phase := usualPhase()
			if test.phase != nil {
				phase = *test.phase
			}
			c.submit("first", "lasts", phase)
			c.runFor(3 * time.Second)
			explained := fmt.Sprint(c.cell.Explain("lasts"))
			assert.Equal(t, c.hasStarted("lasts", phase.Count-1), test.name == "none", explained)
			assert.Assert(t, strings.Contains(explained, test.explained), explained)
			assert.Equal(t, c.cell.Report(c.now).MissingBoxes, test.wants, explained)
			if test.end != nil {
				test.end(c)
				c.runFor(test.endsWithin)
				assert.Assert(t, c.hasStarted("lasts", 0), "%v", c.cell.Explain("lasts"))
				assert.Equal(t, c.cell.Report(c.now).MissingBoxes, 0)
			}
		})
	}
}
