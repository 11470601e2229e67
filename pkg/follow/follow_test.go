package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/check"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/standin"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

// reader is a follower over a stand-in log, read a step at a time.
type reader struct {
	t        *testing.T
	log      *standin.Log
	follower *Follower
	updates  chan Update
	breaches map[string]int
}

func newReader(t *testing.T, log *standin.Log) *reader {
	checker, err := check.New()
	assert.NilError(t, err)
	r := &reader{t: t, log: log, updates: make(chan Update, 1), breaches: map[string]int{}}
	r.follower = New(Deps{
		Clock: clockwork.NewFakeClock(), Sources: []damsonwinch.RecordSource{LogSource{Log: log}}, Updates: r.updates, CheckpointEvery: 4,
		Invariants: invariant.New(func(name, _ string) { r.breaches[name]++ }), InitialState: fold.New(table.New(checker)), WaitMs: -1,
	})
	return r
}

func (r *reader) read() Update {
	r.t.Helper()
	assert.Assert(r.t, r.follower.readFromAny(context.Background()))
	return <-r.updates
}

func (r *reader) append(stream string, value any) {
	text, err := json.Marshal(value)
	assert.NilError(r.t, err)
	_, err = r.log.Append(context.Background(), stream, string(text))
	assert.NilError(r.t, err)
}

func enroll(number int) wire.Batch {
	return wire.Batch{Id: fmt.Sprint(number), Node: "a", Incarnation: 1, Number: number, Proposals: []wire.Proposal{
		{Kind: wire.KindEnroll, Boxes: []wire.BoxInfo{{Name: fmt.Sprintf("b%d", number), Hall: "north", Slots: 8}}},
	}}
}

func newLog() *standin.Log {
	return standin.New(clockwork.NewFakeClock(), 1, 0)
}

func TestACheckpointThatDiffersIsCounted(t *testing.T) {
	r := newReader(t, newLog())
	for number := range 4 {
		r.append(damsonwinch.StreamFleet, enroll(number+1))
	}
	own := r.read().Checkpoint
	assert.Assert(t, own != nil)
	assert.Equal(t, own.Offset, 4)
	publish := func(number int, hash string) {
		r.append(damsonwinch.StreamFleet, wire.Batch{Id: "c", Node: "a", Incarnation: 1, Number: number, Proposals: []wire.Proposal{
			{Kind: wire.KindCheckpoint, Checkpoint: &wire.Checkpoint{Offset: 4, Hash: hash}},
		}})
		r.read()
	}
	publish(5, own.Hash)
	assert.Equal(t, r.breaches[invariant.StateDiverged], 0)
	publish(6, "another")
	assert.Equal(t, r.breaches[invariant.StateDiverged], 1)
}

func TestExpiredRecordsAreReplacedByASnapshot(t *testing.T) {
	log := newLog()
	first := newReader(t, log)
	for number := range 4 {
		first.append(damsonwinch.StreamFleet, enroll(number+1))
	}
	first.append(damsonwinch.StreamSnapshots, first.read().Checkpoint)
	first.append(damsonwinch.StreamFleet, enroll(5))
	whole := first.read().State
	log.Expire(damsonwinch.StreamFleet, 4)

	late := newReader(t, log)
	assert.Assert(t, late.read().Restored)
	state := late.read().State

	assert.Equal(t, state.Offset(), whole.Offset())
	assert.Equal(t, len(state.Boxes()), len(whole.Boxes()))
}

func TestAnOlderSnapshotChangesNothing(t *testing.T) {
	r := newReader(t, newLog())
	for number := range 4 {
		r.append(damsonwinch.StreamFleet, enroll(number+1))
	}
	old := r.read().Checkpoint
	r.append(damsonwinch.StreamFleet, enroll(5))
	newer := r.read().State
	text, err := json.Marshal(old)
	assert.NilError(t, err)

	update, err := r.follower.take(wire.ReadReply{Snapshot: string(text)})

	assert.NilError(t, err)
	assert.Assert(t, !update.Restored)
	assert.Equal(t, update.State.Offset(), newer.Offset())
}

func TestAGapIsNeverFoldedOver(t *testing.T) {
	r := newReader(t, newLog())
	text, err := json.Marshal(enroll(1))
	assert.NilError(t, err)

	_, err = r.follower.take(wire.ReadReply{Entries: []wire.Entry{{Offset: 3, Data: string(text)}}})

	assert.ErrorContains(t, err, "records are missing")
}

// scripted is a source that answers as it is told.
type scripted struct {
	name  string
	reply wire.ReadReply
	err   error
	asked int
	waits []int
}

// Name returns the source's name.
func (s *scripted) Name() string { return s.name }

// Read answers as the test has set.
func (s *scripted) Read(_ context.Context, _, _, waitMs int) (wire.ReadReply, error) {
	s.asked++
	s.waits = append(s.waits, waitMs)
	return s.reply, s.err
}

// TestAPeerThatKnowsNoMoreIsFollowedByTheNext: a hall that can't reach the log
// has peers that can't either, and others that can. Each pass gets to those.
func TestAPeerThatKnowsNoMoreIsFollowedByTheNext(t *testing.T) {
	r := newReader(t, newLog())
	text, err := json.Marshal(enroll(1))
	assert.NilError(t, err)
	dead := &scripted{name: LogSourceName, err: errors.New("cut off")}
	idle := &scripted{name: "same hall"}
	fresh := &scripted{name: "other hall", reply: wire.ReadReply{Entries: []wire.Entry{{Offset: 0, Data: string(text)}}, LogFresh: true}}
	last := &scripted{name: "not needed"}
	r.updates = make(chan Update, 4)
	r.follower.deps.Updates = r.updates
	r.follower.deps.WaitMs = 500
	r.follower.deps.Sources = []damsonwinch.RecordSource{dead, idle, fresh, last}
	r.follower.skipUntil, r.follower.failures = make([]time.Time, 4), make([]int, 4)

	assert.Assert(t, r.follower.readFromAny(context.Background()))

	assert.Equal(t, len((<-r.updates).Records), 0)
	assert.Equal(t, len((<-r.updates).Records), 1)
	assert.Equal(t, last.asked, 0)
	assert.DeepEqual(t, idle.waits, []int{500})
	assert.DeepEqual(t, fresh.waits, []int{0})
}
