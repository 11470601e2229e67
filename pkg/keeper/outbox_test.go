package keeper

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

const testIncarnation = 7

// folding is a state and the records that led to it.
type folding struct {
	t     *testing.T
	state fold.State
}

func newFolding(t *testing.T) *folding {
	checker, err := check.New()
	assert.NilError(t, err)
	return &folding{t: t, state: fold.New(table.New(checker))}
}

// land folds a batch of this keeper and returns it as the follower would.
func (f *folding) land(number int, proposals ...wire.Proposal) []follow.AppliedRecord {
	data, err := json.Marshal(wire.Batch{Id: "x", Node: "a", Incarnation: testIncarnation, Number: number, Proposals: proposals})
	assert.NilError(f.t, err)
	record := wire.Entry{Offset: f.state.Offset(), Data: string(data)}
	next, verdicts := f.state.Apply(record)
	f.state = next
	return []follow.AppliedRecord{{Record: record, Results: verdicts}}
}

// send takes what the next batch carries.
func send(o *outbox) []wire.Proposal {
	proposals := o.take()
	o.number++
	return proposals
}

func anEdit() wire.Proposal {
	return wire.Proposal{Id: "edit-1", Kind: wire.KindEdit, Author: "ana", Edit: &wire.Edit{}}
}

// TestAnEditIsSaidAgainOnlyWhenItsBatchCanNoLongerLand: its append was lost or
// is late. As long as it may land, a second copy could be accepted after the
// first was refused.
func TestAnEditIsSaidAgainOnlyWhenItsBatchCanNoLongerLand(t *testing.T) {
	f, o := newFolding(t), newOutbox(testIncarnation)
	o.put(anEdit())
	assert.Equal(t, len(send(&o)), 1)
	assert.Assert(t, o.unsettled())
	assert.Equal(t, len(send(&o)), 0)

	o.settle(f.state, nil)
	assert.Equal(t, len(send(&o)), 0, "nothing is folded, the first may still land")
	o.settle(f.state, f.land(3))

	assert.Equal(t, len(send(&o)), 1, "a later batch is folded: the first never will be")
	assert.Equal(t, f.land(1, anEdit())[0].Results[0].Accepted, false)
}

func TestAFoldedEditIsDone(t *testing.T) {
	f, o := newFolding(t), newOutbox(testIncarnation)
	o.put(anEdit())
	sent := send(&o)

	o.settle(f.state, f.land(1, sent...))

	assert.Assert(t, !o.unsettled())
	o.settle(f.state, f.land(2))
	assert.Equal(t, len(send(&o)), 0)
}

func TestTheNewestWordOnABoxReplacesTheOlder(t *testing.T) {
	o := newOutbox(testIncarnation)
	for epoch := range 3 {
		o.put(wire.Proposal{Kind: wire.KindEmpty, Change: &wire.BoxChange{Box: "b", Epoch: epoch}})
	}
	o.put(wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: "b", Epoch: 2}})
	sent := send(&o)
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, sent[0].Change.Epoch, 2)
}
