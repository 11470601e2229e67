package cell_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// restartingEndpoint is an endpoint d beside a crowded cell's others. Its first life has crashed without a sign, so that
// calls to it time out.
type restartingEndpoint struct {
	*crowdedCell
	earlier, later damsonwinch.Life
	// unanswered holds the starts that the earlier life has not answered.
	unanswered []damsonwinch.Run
	// held holds the polls that endpoints hold, by the time at which they are answered.
	held map[time.Time][]cell.Poll
	// hasCrashed is set once the earlier life answers nothing any more.
	hasCrashed bool
}

// othersOfRestartingEndpoint returns the IDs of the cell's other endpoints. They answer many calls, so that an endpoint
// that leaves some unanswered stands out.
func othersOfRestartingEndpoint() []string {
	var ids []string
	for n := range 60 {
		ids = append(ids, fmt.Sprintf("other-%02d", n))
	}
	return ids
}

// newRestartingEndpoint returns a cell that has requested count short tasks of the earlier life, which has crashed.
func newRestartingEndpoint(t *testing.T, count int) *restartingEndpoint {
	e := &restartingEndpoint{
		crowdedCell: newCrowdedCell(t, othersOfRestartingEndpoint()...),
		earlier:     damsonwinch.Life{ID: "d", StartedUnixMs: 1}, later: damsonwinch.Life{ID: "d", StartedUnixMs: 2},
		held: map[time.Time][]cell.Poll{},
	}
	e.submit("first", "beside", wire.Phase{Count: 60, Cpu: 3000, MemoryMb: 500, EstimateMs: 300, Lasting: true})
	e.list(e.earlier)
	e.runFor(5 * time.Second)
	e.hasCrashed = true
	e.submit("first", "short", wire.Phase{Count: count, Cpu: 500, MemoryMb: 500, EstimateMs: 300, Label: "d"})
	return e
}

// list has the registry list a life of the endpoint in place of any other.
func (e *restartingEndpoint) list(life damsonwinch.Life) {
	e.listed = slices.DeleteFunc(e.listed, func(info damsonwinch.Endpoint) bool { return info.Life.ID == life.ID })
	e.listed = append(e.listed, damsonwinch.Endpoint{
		Life: life, Box: "box-d", Address: "d:1", Pool: "pool", Labels: []string{"d"}, Capacity: damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 8000},
	})
	e.cell.SetEndpoints(e.now, e.listed)
}

// runFor lets time pass. Starts and stops that are meant for the earlier life stay unanswered, and so do its polls.
func (e *restartingEndpoint) runFor(duration time.Duration) {
	for end := e.now.Add(duration); e.now.Before(end); e.now = e.now.Add(10 * time.Millisecond) {
		e.cell.ConfirmOwnership(e.now)
		e.cell.Tick(e.now)
		e.answer(cell.Effects{Polls: e.held[e.now]})
		for range 4 {
			effects := e.cell.TakeEffects()
			e.dropCallsToEarlier(&effects)
			e.holdPolls(&effects)
			e.answer(effects)
		}
	}
}

// holdPolls removes the polls that endpoints hold from effects.
func (e *restartingEndpoint) holdPolls(effects *cell.Effects) {
	effects.Polls = slices.DeleteFunc(effects.Polls, func(poll cell.Poll) bool {
		if poll.Request.MaxWait == 0 {
			return false
		}
		until := e.now.Add(poll.Request.MaxWait)
		e.held[until] = append(e.held[until], poll)
		return true
	})
}

// dropCallsToEarlier removes the starts and polls of the crashed life from effects, and answers the stops of the later one.
func (e *restartingEndpoint) dropCallsToEarlier(effects *cell.Effects) {
	effects.Starts = slices.DeleteFunc(effects.Starts, func(start cell.Start) bool {
		isEarlier := start.Endpoint.Life == e.earlier
		if isEarlier {
			e.unanswered = append(e.unanswered, start.Request.Run)
		}
		return isEarlier
	})
	for _, stop := range effects.Stops {
		if stop.Endpoint.Life == e.later {
			e.cell.Stopped(e.now, e.later, stop.Request.Run, nil)
		}
	}
	effects.Polls = slices.DeleteFunc(effects.Polls, func(poll cell.Poll) bool {
		return poll.Endpoint.Life == e.earlier && e.hasCrashed
	})
}

// timeOutStarts has the starts fail that the earlier life has not answered.
func (e *restartingEndpoint) timeOutStarts() {
	for _, run := range e.unanswered {
		e.cell.Started(e.now, e.earlier, run, errors.New("no answer in time"))
	}
}

// TestCallsThatAnEarlierLifeLeftUnansweredAreNotHeldAgainstTheLaterOne guards against a later life that gets no work for
// seconds, as one that leaves many calls unanswered, because of starts and stops that were sent to the earlier one.
func TestCallsThatAnEarlierLifeLeftUnansweredAreNotHeldAgainstTheLaterOne(t *testing.T) {
	e := newRestartingEndpoint(t, 6)
	e.runFor(500 * time.Millisecond)
	assert.Equal(t, len(e.unanswered), 6)
	e.timeOutStarts()
	e.runFor(100 * time.Millisecond)
	e.list(e.later)
	e.runFor(1500 * time.Millisecond)
	for _, line := range e.logged {
		t.Logf("%s %s %s: %s", line.Message, line.Task, line.Endpoint, line.Reason)
		assert.Assert(t, line.Message != "endpoint suspected" || line.Endpoint != e.later.String(), "the later life has answered all its calls")
	}
	assert.Assert(t, e.hasStarted("short", 5), "%v", e.cell.Explain("short"))
}
