package fleetstate

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/wire"
)

// TestSenderIsReleasableOnceItHasAppliedItsZonesMembers guards against a sender
// that gets boxes too early: if it were lost soon after its start, nobody in its
// zone could release it and free the boxes.
func TestSenderIsReleasableOnceItHasAppliedItsZonesMembers(t *testing.T) {
	state := emptyState(t)
	renew := func(members ...wire.Member) {
		data, err := json.Marshal(wire.Batch{Id: "x", Node: "a", Proposals: []wire.Proposal{{Kind: wire.KindRenew, Members: members}}})
		assert.NilError(t, err)
		state, _ = state.Apply(wire.Entry{Offset: state.Offset(), Data: string(data)})
	}
	releasable := func() bool {
		sender, known := state.Sender(SenderKey{Node: "a", Incarnation: 11})
		assert.Assert(t, known)
		return state.Releasable(sender)
	}
	own := wire.Member{Node: "a", Hall: "north", Keeper: 1, Entry: 11, Seq: 1}
	renew(own)
	assert.Assert(t, releasable(), "the only node of its zone has no peers that must be able to release it")

	renew(wire.Member{Node: "b", Hall: "north", Keeper: 2})
	assert.Assert(t, !releasable())

	own.Seq, own.Folded = 2, state.Offset()
	renew(own)
	assert.Assert(t, releasable())
}
