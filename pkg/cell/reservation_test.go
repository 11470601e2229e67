package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// crowdedCell is a cell whose endpoints are full of short tasks.
type crowdedCell struct {
	t    testing.TB
	now  time.Time
	cell *cell.Cell
	// running and results hold, by endpoint, its runs and the results that it lists.
	running map[damsonwinch.Life][]damsonwinch.RunProgress
	results map[damsonwinch.Life][]damsonwinch.RunResult
	// startedOn holds the endpoint of each task that has started.
	startedOn map[damsonwinch.TaskID]damsonwinch.Life
	startedAt map[damsonwinch.TaskID]time.Time
	calls     int
	listed    []damsonwinch.Endpoint
	faults    endpointFaults
	logged    []cell.LogLine
	// advice is the advice service for the cell's node.
	advice *simAdvice
	// appendTime is how long an append takes. committedAt is when the one in flight is stored, whose number is
	// commitNumber, or 0 if there is none.
	appendTime   time.Duration
	committedAt  time.Time
	commitNumber int
}

// newCrowdedCell returns a cell with endpoints of 4 cores with the given IDs, each of them attached.
func newCrowdedCell(t testing.TB, ids ...string) *crowdedCell {
	c := &crowdedCell{
		t: t, now: time.UnixMilli(1_700_000_000_000), cell: cell.New(simOptions(mutation{}), 1),
		running: map[damsonwinch.Life][]damsonwinch.RunProgress{}, results: map[damsonwinch.Life][]damsonwinch.RunResult{},
		startedOn: map[damsonwinch.TaskID]damsonwinch.Life{}, startedAt: map[damsonwinch.TaskID]time.Time{}, faults: newEndpointFaults(),
		advice: newSimAdvice(damsonwinch.AdviceTimes{PermitTTL: 2 * time.Second}),
	}
	assert.NilError(t, c.cell.Load(c.now, nil))
	c.setQueues()
	for _, id := range ids {
		c.listed = append(c.listed, damsonwinch.Endpoint{Life: damsonwinch.Life{ID: id}, Box: "box-" + id, Address: id + ":1", Pool: "pool", Capacity: damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 8000}})
	}
	c.cell.SetEndpoints(c.now, c.listed)
	c.runFor(100 * time.Millisecond)
	return c
}

// setQueues puts the usual queues in force, and others beside them or in place of those of the same name.
func (c *crowdedCell) setQueues(others ...damsonwinch.Queue) {
	queues := []damsonwinch.Queue{
		{Name: "first", PathPrefix: "/first/", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 20, TargetLatency: 20 * time.Second},
		{Name: "second", PathPrefix: "/second/", Pool: "pool", Priority: 1, MaxAttempts: 3, DeadlineFactor: 20, TargetLatency: 20 * time.Second},
	}
	c.cell.SetQueues(c.now, cell.NewQueueTable(1, append(queues, others...)))
}

// submit submits a job of one phase.
func (c *crowdedCell) submit(queue, id string, phase wire.Phase) {
	c.submitSpec(queue, id, simSpec(phase))
}

// submitSpec submits a job.
func (c *crowdedCell) submitSpec(queue, id string, spec wire.JobSpec) {
	c.calls++
	c.cell.Submit(c.now, wire.JobArgs{Queue: queue, Id: id, Public: true, Spec: &spec, ReceivedMs: int(c.now.UnixMilli())}, c.calls)
}

// runFor lets time pass. The store and the endpoints answer at once.
func (c *crowdedCell) runFor(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); {
		c.step()
	}
}

// crowdedCellStep is how much time passes at once.
const crowdedCellStep = 10 * time.Millisecond

// step lets some time pass.
func (c *crowdedCell) step() {
	c.cell.ConfirmOwnership(c.now)
	c.cell.Tick(c.now)
	for range 4 {
		c.answer(c.cell.TakeEffects())
	}
	c.timeOutPolls()
	c.now = c.now.Add(crowdedCellStep)
}

// answer answers the calls among effects.
func (c *crowdedCell) answer(effects cell.Effects) {
	if effects.Commit != nil {
		c.commitNumber, c.committedAt = effects.Commit.Number, c.now.Add(c.appendTime)
	}
	if c.commitNumber > 0 && !c.now.Before(c.committedAt) {
		c.cell.Committed(c.now, c.commitNumber)
		c.commitNumber = 0
	}
	c.logged = append(c.logged, effects.LogLines...)
	for _, start := range effects.Starts {
		life := start.Endpoint.Life
		if err := c.startError(start); err != nil {
			c.cell.Started(c.now, life, start.Request.Run, err)
			continue
		}
		c.running[life] = append(c.running[life], damsonwinch.RunProgress{Run: start.Request.Run})
		c.startedOn[start.Request.Task], c.startedAt[start.Request.Task] = life, c.now
		c.cell.Started(c.now, life, start.Request.Run, nil)
	}
	if effects.PermitTurn {
		c.advice.await(c)
	}
	for _, poll := range effects.Polls {
		if c.losesPoll(poll) {
			continue
		}
		life := poll.Endpoint.Life
		if c.faults.exited[life.ID] {
			c.cell.Polled(c.now, life, poll.Number, damsonwinch.PollReply{}, damsonwinch.ErrOtherLife)
			continue
		}
		for at := range c.running[life] {
			c.running[life][at].DonePercent = int(c.now.Sub(c.startedAt[c.running[life][at].Run.Task]) / (100 * time.Millisecond))
		}
		c.cell.Polled(c.now, life, poll.Number, damsonwinch.PollReply{ClockMs: int(c.now.UnixMilli()), Running: slices.Concat(c.running[life], c.faults.strays[life.ID]), Finished: c.results[life]}, nil)
	}
}

// startError returns the error with which an endpoint refuses a start, or nil.
func (c *crowdedCell) startError(start cell.Start) error {
	if err := c.faults.refusals[start.Endpoint.Life.ID]; err != nil {
		return err
	}
	if ticket := start.Request.Ticket; ticket != "" && !c.advice.isValid(c.now, ticket) {
		return damsonwinch.ErrInvalidTicket
	}
	return nil
}

// finishAll ends all runs on an endpoint.
func (c *crowdedCell) finishAll(id string) {
	life := damsonwinch.Life{ID: id}
	for _, progress := range c.running[life] {
		c.results[life] = append(c.results[life], damsonwinch.RunResult{Sequence: len(c.results[life]) + 1, Run: progress.Run, Ending: damsonwinch.EndedDone})
	}
	c.running[life] = nil
}

// hasStarted reports whether the task of a job with the given index has started.
func (c *crowdedCell) hasStarted(job string, index int) bool {
	_, started := c.startedOn[damsonwinch.TaskID{Job: job, Index: index}]
	return started
}

// TestReservedEndpointStaysIdleBesideUrgentShortTasks guards against a reserved endpoint that neither takes.
func TestReservedEndpointStaysIdleBesideUrgentShortTasks(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	c.submit("first", "short", wire.Phase{Count: 40, Cpu: 2000, MemoryMb: 500, EstimateMs: 5000})
	c.runFor(100 * time.Millisecond)
	assert.Equal(t, len(c.startedOn), 4)
	c.submit("second", "lasts", wire.Phase{Count: 1, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.runFor(time.Second)
	c.finishAll("a")
	c.runFor(3 * time.Second)
	assert.Assert(t, c.hasStarted("lasts", 0) || len(c.startedOn) > 4, "a has been idle for 3 s: %v", c.cell.Explain("lasts"))
}

// TestReservedEndpointsAreUsedInAnyOrder guards against a free reserved endpoint behind one that is still full.
func TestReservedEndpointsAreUsedInAnyOrder(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	c.submit("first", "short", wire.Phase{Count: 4, Cpu: 2000, MemoryMb: 500, EstimateMs: 5000})
	c.runFor(100 * time.Millisecond)
	assert.Equal(t, len(c.startedOn), 4)
	c.submit("first", "lasts", wire.Phase{Count: 2, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.runFor(time.Second)
	c.finishAll("b")
	c.runFor(3 * time.Second)
	assert.Assert(t, c.hasStarted("lasts", 0) || c.hasStarted("lasts", 1), "b has been idle for 3 s: %v", c.cell.Explain("lasts"))
}

// TestSmallLongRunningTasksReserveOnlyTheEndpointsTheyNeed guards against a cell that is reserved as a whole.
func TestSmallLongRunningTasksReserveOnlyTheEndpointsTheyNeed(t *testing.T) {
	c := newCrowdedCell(t, "a", "b", "c", "d")
	c.submit("first", "short", wire.Phase{Count: 8, Cpu: 2000, MemoryMb: 500, EstimateMs: 5000})
	c.runFor(100 * time.Millisecond)
	assert.Equal(t, len(c.startedOn), 8)
	c.submit("first", "lasts", wire.Phase{Count: 4, Cpu: 1000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.runFor(time.Second)
	c.submit("first", "quick", wire.Phase{Count: 2, Cpu: 2000, MemoryMb: 500, EstimateMs: 300})
	c.finishAll("d")
	c.runFor(2 * time.Second)
	assert.Assert(t, c.hasStarted("quick", 0) || c.hasStarted("lasts", 3) && c.hasStarted("lasts", 0), "d has capacity for all: %v", c.cell.Explain("lasts"))
}

// BenchmarkWaitingLongRunningTasks measures 10 ms of a cell in which each endpoint has a long-running task and as
// many others wait, two of which don't fit on one endpoint.
func BenchmarkWaitingLongRunningTasks(b *testing.B) {
	for _, size := range []int{10, 20, 40} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var ids []string
			for number := range size {
				ids = append(ids, fmt.Sprintf("e%03d", number))
			}
			c := newCrowdedCell(b, ids...)
			for _, id := range []string{"run", "wait"} {
				c.submit("first", id, wire.Phase{Count: size, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true, MostPerBox: 1})
				c.runFor(time.Second)
			}
			for b.Loop() {
				c.runFor(10 * time.Millisecond)
			}
		})
	}
}

// TestReservationEndsWithTheAllowance guards against an endpoint that stays empty for a task over its allowance.
func TestReservationEndsWithTheAllowance(t *testing.T) {
	c := newCrowdedCell(t, "a", "b")
	allow := func(number, milliCPU int) {
		limit := damsonwinch.Resources{MilliCPU: 8000}
		c.cell.SetCustomers(c.now, number, []damsonwinch.Customer{{Name: "c", Cap: limit}})
		c.cell.ApplySync(c.now, wire.SyncArgs{
			Token: 1, CellToken: 1, AllowanceNumber: number, ConfigVersion: number,
			Allowances: []wire.AllowanceRow{{Customer: "c", Amount: wire.Amount{Cpu: milliCPU}, Cap: wire.Amount{Cpu: limit.MilliCPU}}},
		})
	}
	allow(1, 8000)
	c.runFor(100 * time.Millisecond)
	c.submit("first", "short", wire.Phase{Count: 4, Cpu: 2000, MemoryMb: 500, EstimateMs: 5000})
	c.runFor(100 * time.Millisecond)
	spec := simSpec(wire.Phase{Count: 1, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	c.cell.Submit(c.now, wire.JobArgs{Queue: "first", Id: "lasts", Customer: "c", Spec: &spec, ReceivedMs: int(c.now.UnixMilli())}, 50)
	c.runFor(time.Second)
	allow(2, 0)
	c.runFor(100 * time.Millisecond)
	c.finishAll("a")
	c.submit("first", "more", wire.Phase{Count: 2, Cpu: 2000, MemoryMb: 500, EstimateMs: 300})
	c.runFor(3 * time.Second)
	assert.Assert(t, c.hasStarted("more", 0), "%v %v", c.cell.Explain("lasts"), c.cell.Explain("more"))
}
