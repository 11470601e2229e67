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
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/table"
	"damsonwinch/pkg/wire"
)

// testFollower is a follower that reads from a stand-in log, once per call of read.
type testFollower struct {
	t          *testing.T
	log        *fakes.Log
	follower   *Follower
	updates    chan Update
	violations map[string]int
}

func newTestFollower(t *testing.T, log *fakes.Log) *testFollower {
	checker, err := check.New()
	assert.NilError(t, err)
	f := &testFollower{t: t, log: log, updates: make(chan Update, 1), violations: map[string]int{}}
	f.follower = New(Deps{
		Clock: clockwork.NewFakeClock(), Sources: []damsonwinch.RecordSource{LogSource{Log: log}}, Updates: f.updates, CheckpointEvery: 4,
		Invariants: invariant.New(func(name, _ string) { f.violations[name]++ }), InitialState: fleetstate.New(table.New(checker)), WaitMs: -1,
	})
	return f
}

// read makes the follower read once and returns the update.
func (f *testFollower) read() Update {
	f.t.Helper()
	assert.Assert(f.t, f.follower.readFromAny(context.Background()))
	return <-f.updates
}

// append appends a value, as JSON, to a stream of the log.
func (f *testFollower) append(stream string, value any) {
	text, err := json.Marshal(value)
	assert.NilError(f.t, err)
	_, err = f.log.Append(context.Background(), stream, string(text))
	assert.NilError(f.t, err)
}

// enroll returns a batch with the given number, which enrolls one box.
func enroll(number int) wire.Batch {
	return wire.Batch{Id: fmt.Sprint(number), Node: "a", Incarnation: 1, Number: number, Proposals: []wire.Proposal{
		{Kind: wire.KindEnroll, Boxes: []wire.BoxInfo{{Name: fmt.Sprintf("b%d", number), Hall: "north", Slots: 8}}},
	}}
}

func newLog() *fakes.Log {
	return fakes.NewLog(clockwork.NewFakeClock(), 1, 0)
}

func TestDifferentCheckpointIsCounted(t *testing.T) {
	f := newTestFollower(t, newLog())
	for number := range 4 {
		f.append(damsonwinch.StreamFleet, enroll(number+1))
	}
	own := f.read().Checkpoint
	assert.Assert(t, own != nil)
	assert.Equal(t, own.Offset, 4)
	publish := func(number int, hash string) {
		f.append(damsonwinch.StreamFleet, wire.Batch{Id: "c", Node: "a", Incarnation: 1, Number: number, Proposals: []wire.Proposal{
			{Kind: wire.KindCheckpoint, Checkpoint: &wire.Checkpoint{Offset: 4, Hash: hash}},
		}})
		f.read()
	}
	publish(5, own.Hash)
	assert.Equal(t, f.violations[invariant.StateDiverged], 0)
	publish(6, "another")
	assert.Equal(t, f.violations[invariant.StateDiverged], 1)
}

func TestExpiredRecordsAreReplacedBySnapshot(t *testing.T) {
	log := newLog()
	first := newTestFollower(t, log)
	for number := range 4 {
		first.append(damsonwinch.StreamFleet, enroll(number+1))
	}
	first.append(damsonwinch.StreamSnapshots, first.read().Checkpoint)
	first.append(damsonwinch.StreamFleet, enroll(5))
	complete := first.read().State
	log.Expire(damsonwinch.StreamFleet, 4)

	second := newTestFollower(t, log)
	assert.Assert(t, second.read().Restored)
	state := second.read().State

	assert.Equal(t, state.Offset(), complete.Offset())
	assert.Equal(t, len(state.Boxes()), len(complete.Boxes()))
}

func TestOlderSnapshotChangesNothing(t *testing.T) {
	f := newTestFollower(t, newLog())
	for number := range 4 {
		f.append(damsonwinch.StreamFleet, enroll(number+1))
	}
	older := f.read().Checkpoint
	f.append(damsonwinch.StreamFleet, enroll(5))
	newer := f.read().State
	text, err := json.Marshal(older)
	assert.NilError(t, err)

	update, err := f.follower.applyReply(wire.ReadReply{Snapshot: string(text)})

	assert.NilError(t, err)
	assert.Assert(t, !update.Restored)
	assert.Equal(t, update.State.Offset(), newer.Offset())
}

func TestRecordsAfterAGapAreNotApplied(t *testing.T) {
	f := newTestFollower(t, newLog())
	text, err := json.Marshal(enroll(1))
	assert.NilError(t, err)

	_, err = f.follower.applyReply(wire.ReadReply{Entries: []wire.Entry{{Offset: 3, Data: string(text)}}})

	assert.ErrorContains(t, err, "records are missing")
}

// scriptedSource is a source that always returns the same reply and error. It counts its reads and keeps
// their waits.
type scriptedSource struct {
	name  string
	reply wire.ReadReply
	err   error
	reads int
	waits []int
}

// Name returns the source's name.
func (s *scriptedSource) Name() string { return s.name }

// Read returns the reply and the error of the source.
func (s *scriptedSource) Read(_ context.Context, _, _, waitMs int) (wire.ReadReply, error) {
	s.reads++
	s.waits = append(s.waits, waitMs)
	return s.reply, s.err
}

// TestSourceWithoutNewRecordsIsFollowedByTheNext checks a follower in a zone that can't reach the log. The
// keepers of its zone can't reach the log either, but those of other zones can: each pass must get to
// these.
func TestSourceWithoutNewRecordsIsFollowedByTheNext(t *testing.T) {
	f := newTestFollower(t, newLog())
	text, err := json.Marshal(enroll(1))
	assert.NilError(t, err)
	failing := &scriptedSource{name: LogSourceName, err: errors.New("cut off")}
	idle := &scriptedSource{name: "same zone"}
	fresh := &scriptedSource{name: "other zone", reply: wire.ReadReply{Entries: []wire.Entry{{Offset: 0, Data: string(text)}}, LogFresh: true}}
	last := &scriptedSource{name: "not needed"}
	f.updates = make(chan Update, 4)
	f.follower.deps.Updates = f.updates
	f.follower.deps.WaitMs = 500
	f.follower.deps.Sources = []damsonwinch.RecordSource{failing, idle, fresh, last}
	f.follower.skipUntil, f.follower.failures = make([]time.Time, 4), make([]int, 4)

	assert.Assert(t, f.follower.readFromAny(context.Background()))

	assert.Equal(t, len((<-f.updates).Records), 0)
	assert.Equal(t, len((<-f.updates).Records), 1)
	assert.Equal(t, last.reads, 0)
	assert.DeepEqual(t, idle.waits, []int{500})
	assert.DeepEqual(t, fresh.waits, []int{0})
}
