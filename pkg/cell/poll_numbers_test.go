package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// heldPolls is a cell with one idle endpoint, whose polls are answered by the test.
type heldPolls struct {
	now    time.Time
	cell   *cell.Cell
	info   damsonwinch.Endpoint
	polls  []cell.Poll
	starts []cell.Start
	stops  []cell.Stop
}

func newHeldPolls(t *testing.T) *heldPolls {
	h := &heldPolls{now: time.UnixMilli(1_700_000_000_000), cell: cell.New(simOptions(mutation{}), 1)}
	assert.NilError(t, h.cell.Load(h.now, nil))
	h.cell.SetQueues(h.now, cell.NewQueueTable(1, simQueues))
	h.info = damsonwinch.Endpoint{Life: damsonwinch.Life{ID: "e1"}, Address: "e1:1", Pool: "pool", Capacity: damsonwinch.Resources{MilliCPU: 4000, MemoryMB: 4000}}
	return h
}

// wait lets time pass and returns the poll that is sent then. The store answers at once.
func (h *heldPolls) wait(t *testing.T, duration time.Duration) cell.Poll {
	h.polls = nil
	for end := h.now.Add(duration); h.now.Before(end) && len(h.polls) == 0; h.now = h.now.Add(10 * time.Millisecond) {
		h.cell.ConfirmOwnership(h.now)
		h.cell.Tick(h.now)
		h.collect()
	}
	assert.Equal(t, len(h.polls), 1)
	return h.polls[0]
}

// collect takes the cell's effects and confirms its commits and starts.
func (h *heldPolls) collect() {
	for range 4 {
		effects := h.cell.TakeEffects()
		h.polls = append(h.polls, effects.Polls...)
		h.stops = append(h.stops, effects.Stops...)
		if effects.Commit != nil {
			h.cell.Committed(h.now, effects.Commit.Number)
		}
		for _, start := range effects.Starts {
			h.starts = append(h.starts, start)
			h.cell.Started(h.now, start.Endpoint.Life, start.Request.Run, nil)
		}
	}
}

// tick lets time pass and ticks the cell once.
func (h *heldPolls) tick(duration time.Duration) {
	h.now = h.now.Add(duration)
	h.cell.Tick(h.now)
	h.collect()
}

// answer answers a poll with the given runs.
func (h *heldPolls) answer(poll cell.Poll, running ...damsonwinch.RunProgress) {
	h.cell.Polled(h.now, poll.Endpoint.Life, poll.Number, damsonwinch.PollReply{ClockMs: int(h.now.UnixMilli()), Running: running}, nil)
}

// TestReplyToAPollBeforeAnEndpointWasListedAgainIsIgnored guards against a task that runs twice: the reply to an old poll
// doesn't list a run that has started since, and was taken for the reply to a new poll with the same number.
func TestReplyToAPollBeforeAnEndpointWasListedAgainIsIgnored(t *testing.T) {
	h := newHeldPolls(t)
	h.cell.SetEndpoints(h.now, []damsonwinch.Endpoint{h.info})
	h.answer(h.wait(t, time.Second))
	h.answer(h.wait(t, 2*time.Second))
	old := h.wait(t, 2*time.Second)

	h.cell.SetEndpoints(h.now, nil)
	h.cell.SetEndpoints(h.now, []damsonwinch.Endpoint{h.info})
	h.answer(h.wait(t, time.Second))
	spec := simSpec(wire.Phase{Count: 1, Cpu: 1000, EstimateMs: 300})
	h.cell.Submit(h.now, wire.JobArgs{Queue: "queue", Id: "job", Spec: &spec, ReceivedMs: int(h.now.UnixMilli())}, 1)
	poll := h.wait(t, time.Second)
	assert.Equal(t, len(h.starts), 1)
	h.answer(poll, damsonwinch.RunProgress{Run: h.starts[0].Request.Run})
	h.wait(t, time.Second)

	h.answer(old)
	h.tick(100 * time.Millisecond)
	assert.Equal(t, len(h.starts), 1, "the run goes on")
}

// TestReplyThatWasOvertakenStopsNoEndedRun guards against a run that counts as one which nobody expects, although it has ended:
// the reply to a later poll, which the endpoint answered before, still lists it. The endpoint then got no work for a while.
func TestReplyThatWasOvertakenStopsNoEndedRun(t *testing.T) {
	h := newHeldPolls(t)
	h.cell.SetEndpoints(h.now, []damsonwinch.Endpoint{h.info})
	h.answer(h.wait(t, time.Second))
	spec := simSpec(wire.Phase{Count: 1, Cpu: 1000, EstimateMs: 300})
	for callID, id := range []string{"ends", "cancelled"} {
		h.cell.Submit(h.now, wire.JobArgs{Queue: "queue", Id: id, Spec: &spec, ReceivedMs: int(h.now.UnixMilli())}, callID)
	}
	held := h.wait(t, time.Second)
	h.tick(20 * time.Millisecond)
	assert.Equal(t, len(h.starts), 2)
	ends, cancelled := h.starts[0].Request.Run, h.starts[1].Request.Run
	h.cell.Cancel(h.now, wire.JobArgs{Queue: "queue", Id: "cancelled"}, 2)
	h.collect()
	assert.Equal(t, len(h.stops), 1)
	h.cell.Stopped(h.now, h.info.Life, cancelled, nil)
	later := h.wait(t, time.Second)

	h.cell.Polled(h.now, h.info.Life, held.Number, damsonwinch.PollReply{
		ClockMs: int(h.now.UnixMilli()), Finished: []damsonwinch.RunResult{{Run: ends, Sequence: 1, Ending: damsonwinch.EndedDone}},
	}, nil)
	h.answer(later, damsonwinch.RunProgress{Run: ends}, damsonwinch.RunProgress{Run: cancelled})
	h.collect()
	assert.Equal(t, len(h.stops), 1, "the run has ended")
	h.cell.Submit(h.now, wire.JobArgs{Queue: "queue", Id: "next", Spec: &spec, ReceivedMs: int(h.now.UnixMilli())}, 3)
	h.tick(20 * time.Millisecond)
	assert.Equal(t, len(h.starts), 3, "the endpoint takes work")
}
