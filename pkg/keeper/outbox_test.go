package keeper

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

const testIncarnation = 7

// testLog is a log with the state after its records.
type testLog struct {
	t     *testing.T
	state fleetstate.State
}

func newTestLog(t *testing.T) *testLog {
	checker, err := check.New()
	assert.NilError(t, err)
	return &testLog{t: t, state: fleetstate.New(table.New(checker))}
}

// appendBatch appends and applies a batch with a number, and returns its record as
// the follower does.
func (log *testLog) appendBatch(number int, proposals ...wire.Proposal) []follow.AppliedRecord {
	data, err := json.Marshal(wire.Batch{Id: "x", Node: "a", Incarnation: testIncarnation, Number: number, Proposals: proposals})
	assert.NilError(log.t, err)
	record := wire.Entry{Offset: log.state.Offset(), Data: string(data)}
	next, results := log.state.Apply(record)
	log.state = next
	return []follow.AppliedRecord{{Record: record, Results: results}}
}

// send returns the proposals of the next batch, which counts as sent.
func send(o *outbox) []wire.Proposal {
	proposals := o.takeBatch()
	o.lastNumber++
	return proposals
}

func anEdit() wire.Proposal {
	return wire.Proposal{Id: "edit-1", Kind: wire.KindEdit, Author: "ana", Edit: &wire.Edit{}}
}

// TestEditIsSentAgainOnlyOnceItsBatchCanNoLongerBeApplied guards against an edit
// that is accepted after it was refused. The append of its batch may be lost or only
// late. If the edit is sent again while the first batch may still reach the log, the
// first copy can be refused and the second one accepted.
func TestEditIsSentAgainOnlyOnceItsBatchCanNoLongerBeApplied(t *testing.T) {
	log, o := newTestLog(t), newOutbox(testIncarnation)
	o.add(anEdit())
	assert.Equal(t, len(send(&o)), 1)
	assert.Assert(t, o.hasSentEdit())
	assert.Equal(t, len(send(&o)), 0)

	o.applyRecords(log.state, nil)
	assert.Equal(t, len(send(&o)), 0, "nothing has been applied, the first batch may still reach the log")
	o.applyRecords(log.state, log.appendBatch(3))

	assert.Equal(t, len(send(&o)), 1, "a later batch has been applied: the first never will be")
	assert.Equal(t, log.appendBatch(1, anEdit())[0].Results[0].Accepted, false)
}

func TestAppliedEditIsNotSentAgain(t *testing.T) {
	log, o := newTestLog(t), newOutbox(testIncarnation)
	o.add(anEdit())
	sent := send(&o)

	o.applyRecords(log.state, log.appendBatch(1, sent...))

	assert.Assert(t, !o.hasSentEdit())
	o.applyRecords(log.state, log.appendBatch(2))
	assert.Equal(t, len(send(&o)), 0)
}

func TestNewerProposalOfSameKindForBoxReplacesQueuedOne(t *testing.T) {
	o := newOutbox(testIncarnation)
	for epoch := range 3 {
		o.add(wire.Proposal{Kind: wire.KindEmpty, Change: &wire.BoxChange{Box: "b", Epoch: epoch}})
	}
	o.add(wire.Proposal{Kind: wire.KindHealth, Change: &wire.BoxChange{Box: "b", Epoch: 2}})
	sent := send(&o)
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, sent[0].Change.Epoch, 2)
}
