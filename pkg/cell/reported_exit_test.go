package cell_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// reportedLife is the life of the endpoint that the planner reports to have exited.
var reportedLife = damsonwinch.Life{ID: "e1"}

// loneEndpoint is a cell with one endpoint, where a long-running task runs.
type loneEndpoint struct {
	t       *testing.T
	now     time.Time
	cell    *cell.Cell
	running []damsonwinch.RunProgress
	// reachable is set while the endpoint answers polls.
	reachable bool
	starts    int
	// records holds all records in the cell's stream.
	records []damsonwinch.Record
	// stopped holds the runs that the owner has stopped.
	stopped []damsonwinch.Run
}

// newLoneEndpoint returns a cell whose long-running task has been running for a second.
func newLoneEndpoint(t *testing.T) *loneEndpoint {
	l := &loneEndpoint{t: t, now: time.UnixMilli(1_700_000_000_000), cell: cell.New(simOptions(mutation{}), 1), reachable: true}
	assert.NilError(t, l.cell.Load(l.now, nil))
	l.cell.SetQueues(l.now, simQueues)
	l.cell.SetEndpoints(l.now, []damsonwinch.Endpoint{{Life: reportedLife, Address: "e1:1", Pool: "pool", Capacity: damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 4000}}})
	spec := simSpec(wire.Phase{Count: 1, Cpu: 1000, EstimateMs: 300, Lasting: true})
	l.cell.Submit(l.now, wire.JobArgs{Queue: "queue", Id: "job", Spec: &spec, ReceivedMs: int(l.now.UnixMilli())}, 1)
	l.runFor(time.Second)
	assert.Equal(t, l.starts, 1)
	return l
}

// runFor lets time pass. The store and the endpoint answer at once.
func (l *loneEndpoint) runFor(duration time.Duration) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(10 * time.Millisecond) {
		l.cell.ConfirmOwnership(l.now)
		l.cell.Tick(l.now)
		for range 4 {
			l.answer(l.cell.TakeEffects())
		}
	}
}

// answer answers the calls among effects.
func (l *loneEndpoint) answer(effects cell.Effects) {
	if effects.Commit != nil {
		l.records = append(l.records, effects.Commit.Records...)
		l.cell.Committed(l.now, effects.Commit.Number)
	}
	for _, start := range effects.Starts {
		l.starts++
		l.running = append(l.running, damsonwinch.RunProgress{Run: start.Request.Run, DonePercent: 100})
		l.cell.Started(l.now, start.Endpoint.Life, start.Request.Run, nil)
	}
	for _, stop := range effects.Stops {
		l.stopped = append(l.stopped, stop.Request.Run)
		l.running = nil
		l.cell.Stopped(l.now, stop.Endpoint.Life, stop.Request.Run, nil)
	}
	for _, poll := range effects.Polls {
		var err error
		if !l.reachable {
			err = errors.New("no answer in time")
		}
		l.cell.Polled(l.now, poll.Endpoint.Life, poll.Number, damsonwinch.PollReply{ClockMs: int(l.now.UnixMilli()), Running: l.running}, err)
	}
}

// reportExit has the planner report, for a while, that the endpoint has exited.
func (l *loneEndpoint) reportExit() {
	for range 10 {
		l.cell.ApplySync(l.now, wire.SyncArgs{Token: 1, Gone: []string{reportedLife.String()}})
		l.runFor(100 * time.Millisecond)
	}
}

// TestAnsweringEndpointIsNotTakenForExited guards against a task that runs twice because a list of
// boxes lacks an endpoint that lives, and answers.
func TestAnsweringEndpointIsNotTakenForExited(t *testing.T) {
	l := newLoneEndpoint(t)
	l.reportExit()
	assert.Equal(t, l.cell.Stats().RunsLost, 0, "the endpoint answers")
	assert.Equal(t, len(l.stopped), 0)
	l.reachable = false
	l.reportExit()
	assert.Equal(t, l.cell.Stats().RunsLost, 1, "the endpoint doesn't answer, and the platform doesn't list it")
}

// TestEndpointTakenForExitedIsUsedAgainOnceItAnswers guards against a long-running task that waits for
// good beside a registered endpoint that was taken for exited and lives.
func TestEndpointTakenForExitedIsUsedAgainOnceItAnswers(t *testing.T) {
	l := newLoneEndpoint(t)
	l.reachable = false
	l.reportExit()
	assert.Equal(t, l.cell.Stats().RunsLost, 1)
	l.reachable = true
	first := l.running[0].Run
	l.runFor(5 * time.Second)
	assert.DeepEqual(t, l.stopped, []damsonwinch.Run{first})
	assert.Equal(t, l.starts, 2, "the task runs again")
	assert.Equal(t, l.cell.Stats().FalseExits, 1, "the answer shows that the report was wrong")
}
