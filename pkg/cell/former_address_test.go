package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestAnswerAtAFormerAddressEndsNoRunAtTheNewOne guards against a task that runs twice: an endpoint that doesn't tell when it
// started has answered a poll at a new address and begun a run there, and an overdue poll, sent to its former address, is then
// answered by another endpoint.
func TestAnswerAtAFormerAddressEndsNoRunAtTheNewOne(t *testing.T) {
	h := newHeldPolls(t)
	h.cell.SetEndpoints(h.now, []damsonwinch.Endpoint{h.info})
	for range 10 {
		h.answer(h.wait(t, 2*time.Second))
	}
	former := h.wait(t, 2*time.Second)
	moved, other := h.info, h.info
	moved.Address = "e1:2"
	other.Life.ID, other.Address = "e2", "e1:1"
	h.cell.SetEndpoints(h.now, []damsonwinch.Endpoint{moved})
	repeated := h.wait(t, 450*time.Millisecond)
	assert.Equal(t, repeated.Endpoint.Address, moved.Address)
	h.answer(repeated)
	spec := simSpec(wire.Phase{Count: 1, Cpu: 1000, EstimateMs: 3000})
	h.cell.Submit(h.now, wire.JobArgs{Queue: "queue", Id: "job", Spec: &spec, ReceivedMs: int(h.now.UnixMilli())}, 1)
	running := h.wait(t, 100*time.Millisecond)
	assert.Equal(t, len(h.starts), 1)
	assert.Equal(t, h.starts[0].Endpoint.Address, moved.Address)
	h.answer(running, damsonwinch.RunProgress{Run: h.starts[0].Request.Run})

	h.cell.SetEndpoints(h.now, []damsonwinch.Endpoint{moved, other})
	h.cell.Polled(h.now, h.info.Life, former.Number, damsonwinch.PollReply{}, damsonwinch.ErrOtherLife)
	h.polls = nil
	for tries := 0; tries < 20 && len(h.starts) == 1; tries++ {
		h.tick(10 * time.Millisecond)
		for _, poll := range h.polls {
			if poll.Endpoint.Life == other.Life {
				h.answer(poll)
			}
		}
		h.polls = nil
	}
	assert.Equal(t, len(h.starts), 1, "the run at the new address goes on")
}
