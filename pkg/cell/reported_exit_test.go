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
	// clockStart is when the endpoint's clock showed 0.
	clockStart time.Time
	starts     int
	// records holds all records in the cell's stream.
	records []damsonwinch.Record
	// stopped holds the runs that the owner has stopped.
	stopped []damsonwinch.Run
}

// newLoneEndpoint returns a cell whose long-running task has been running for a second.
func newLoneEndpoint(t *testing.T) *loneEndpoint {
	l := &loneEndpoint{t: t, now: time.UnixMilli(1_700_000_000_000), cell: cell.New(simOptions(mutation{}), 1), reachable: true, clockStart: time.UnixMilli(0)}
	assert.NilError(t, l.cell.Load(l.now, nil))
	l.cell.SetQueues(l.now, cell.NewQueueTable(1, simQueues))
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
		l.cell.Polled(l.now, poll.Endpoint.Life, poll.Number, damsonwinch.PollReply{ClockMs: int(l.now.Sub(l.clockStart).Milliseconds()), Running: l.running}, err)
	}
}

// reportExit has the planner report, for a while, that the endpoint has exited. Each list of boxes was requested once the
// planner had the report before.
func (l *loneEndpoint) reportExit() {
	for range 10 {
		l.reportExitByList(l.cell.Report(l.now).ReportNumber, 1)
		l.runFor(100 * time.Millisecond)
	}
}

// reportExitByList has the planner report that the endpoint has exited, by a list of boxes that it requested when its
// newest report on the cell was the given one of the owner with the given token.
func (l *loneEndpoint) reportExitByList(number, ownerToken int) {
	l.cell.ApplySync(l.now, wire.SyncArgs{Token: 1, Gone: []string{reportedLife.String()}, BoxesAfterReport: number, BoxesAfterToken: ownerToken})
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

// TestListRequestedBeforeTheLastAnswerShowsNoExit guards against a task that runs twice: the planner requested its list of
// boxes while the box was down between two lives, and the endpoint has answered since and is cut off now.
func TestListRequestedBeforeTheLastAnswerShowsNoExit(t *testing.T) {
	l := newLoneEndpoint(t)
	before := l.cell.Report(l.now).ReportNumber
	l.runFor(600 * time.Millisecond)
	l.reachable = false
	l.runFor(700 * time.Millisecond)
	for range 10 {
		l.reportExitByList(before, 1)
		l.reportExitByList(before+1, 2)
		l.runFor(100 * time.Millisecond)
	}
	assert.Equal(t, l.cell.Stats().RunsLost, 0, "the endpoint has answered since the first report, and the other is of another owner")
	l.reportExitByList(l.cell.Report(l.now).ReportNumber, 1)
	assert.Equal(t, l.cell.Stats().RunsLost, 1, "the endpoint hasn't answered since the second report")
}

// TestPlannersListThatMayLackAYoungEndpointShowsNoExit guards against a task that runs twice: its endpoint has started within
// the last second, the platform's lists of boxes don't have it yet, and it is cut off now.
func TestPlannersListThatMayLackAYoungEndpointShowsNoExit(t *testing.T) {
	l := newLoneEndpoint(t)
	l.clockStart = l.now.Add(-time.Second)
	l.runFor(400 * time.Millisecond)
	l.reachable = false
	for range 5 {
		l.reportExitByList(l.cell.Report(l.now).ReportNumber, 1)
		l.runFor(100 * time.Millisecond)
	}
	assert.Equal(t, l.cell.Stats().RunsLost, 0, "the clock of the endpoint shows less than 2 s")
	l.runFor(200 * time.Millisecond)
	l.reportExit()
	assert.Equal(t, l.cell.Stats().RunsLost, 1, "lists have the endpoint now, if it has not exited")
}

// TestExitByAPlannerThatNamesNoReportCountsOnceItMustBeNewer guards against a task that runs twice because of an old list
// of boxes, and against one that waits until its lease has expired, while a node of an earlier version plans.
func TestExitByAPlannerThatNamesNoReportCountsOnceItMustBeNewer(t *testing.T) {
	l := newLoneEndpoint(t)
	l.reachable = false
	for range 15 {
		l.reportExitByList(0, 0)
		l.runFor(100 * time.Millisecond)
	}
	assert.Equal(t, l.cell.Stats().RunsLost, 0, "the list may have been requested before the last answer")
	for range 15 {
		l.reportExitByList(0, 0)
		l.runFor(100 * time.Millisecond)
	}
	assert.Equal(t, l.cell.Stats().RunsLost, 1)
}

// TestExitedEndpointIsRecognizedByTheNextList guards against tasks that wait for the planner longer than before it named
// the report that it had before each list: an endpoint that has exited is lost to its owner with the next list, which comes
// each 400 ms, and the next call, which comes each 100 ms.
func TestExitedEndpointIsRecognizedByTheNextList(t *testing.T) {
	for exitsAfter := time.Duration(0); exitsAfter < 400*time.Millisecond; exitsAfter += 50 * time.Millisecond {
		l := newLoneEndpoint(t)
		reportNumber, listedAfter, listed := 0, 0, true
		waited := time.Duration(0)
		for at := time.Duration(0); l.cell.Stats().RunsLost == 0; at += 50 * time.Millisecond {
			if at == 800*time.Millisecond+exitsAfter {
				l.reachable = false
			}
			if at%(400*time.Millisecond) == 0 {
				listedAfter, listed = reportNumber, l.reachable
			}
			if at%(100*time.Millisecond) == 0 {
				if !listed {
					l.reportExitByList(listedAfter, 1)
				}
				reportNumber = l.cell.Report(l.now).ReportNumber
			}
			l.runFor(50 * time.Millisecond)
			if !l.reachable {
				waited += 50 * time.Millisecond
			}
			assert.Assert(t, waited <= 600*time.Millisecond, "exits %v after a list", exitsAfter)
		}
		t.Logf("exits %v after a list: lost after %v", exitsAfter, waited)
	}
}
