// Package follow keeps a process's copy of the fleet's state: it reads records
// from the first source that gives them, folds them and passes the result on.
package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"damsonwinch"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/wire"
)

// Bounds of one reading.
const (
	pageRecords  = 500
	waitMs       = 500
	readTimeout  = 2 * time.Second
	firstSkip    = 500 * time.Millisecond
	mostSkip     = 4 * time.Second
	mostFailures = 8
	firstBackoff = 20 * time.Millisecond
	mostBackoff  = time.Second
)

// AppliedRecord is one record with its verdicts.
type AppliedRecord struct {
	Record  wire.Entry
	Results []fold.Result
}

// ChangesFleet says whether the record did more than renew.
func (f AppliedRecord) ChangesFleet() bool {
	for _, verdict := range f.Results {
		kind := verdict.Proposal.Kind
		if verdict.Accepted && kind != wire.KindRenew && kind != wire.KindCheckpoint {
			return true
		}
	}
	return false
}

// Update is what a follower passes on after a reading.
type Update struct {
	State   fold.State
	Records []AppliedRecord
	// Restored says that the state was taken from a snapshot, so that records
	// in between were not seen.
	Restored bool
	// Checkpoint is the state's snapshot at the newest offset that is one, if the
	// records have passed one.
	Checkpoint *fold.Snapshot
	// LeavingBoxes names the boxes that the platform's list shows as leaving, if the
	// source has read it, which AvoidKnown says.
	LeavingBoxes      []string
	LeavingBoxesKnown bool
	// Source names where it came from.
	Source string
	// FromLog says that the records come from the log or from a keeper that
	// reads it.
	FromLog bool
	// ReadStartedAt is the follower's time at which the reading was begun.
	ReadStartedAt time.Time
}

// Deps is what a follower needs.
type Deps struct {
	Clock      damsonwinch.Clock
	Sources    []damsonwinch.RecordSource
	Invariants *invariant.Checker
	// InitialState is the state before the first record.
	InitialState fold.State
	// Updates takes what the follower passes on.
	Updates chan<- Update
	// CheckpointEvery is the number of records between two checkpoints, 0 for none.
	CheckpointEvery int
	// WaitMs is how long a reading waits for a first record, 0 for the default.
	WaitMs int
}

// Follower reads one stream.
type Follower struct {
	deps      Deps
	state     fold.State
	skipUntil []time.Time
	failures  []int
	// checkpoints holds the hashes of the newest ones by their offsets.
	checkpoints map[int]string
}

// New returns a follower that starts at the empty state.
func New(deps Deps) *Follower {
	if deps.WaitMs == 0 {
		deps.WaitMs = waitMs
	}
	return &Follower{deps: deps, state: deps.InitialState, skipUntil: make([]time.Time, len(deps.Sources)),
		failures: make([]int, len(deps.Sources)), checkpoints: map[int]string{}}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstBackoff, mostBackoff
	for ctx.Err() == nil {
		if f.readFromAny(ctx) {
			pause.Reset()
			continue
		}
		select {
		case <-f.deps.Clock.After(pause.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return nil
}

// readFromAny reads from the first source that has something new or that reads
// the log itself. One that failed is passed over for a while, so that a dead one
// doesn't hold up the living; one that knows no more than we do is followed by
// the next in the same pass, because only another may have heard more.
func (f *Follower) readFromAny(ctx context.Context) bool {
	answered, wait := false, f.deps.WaitMs
	for i, source := range f.deps.Sources {
		begun := f.deps.Clock.Now()
		if begun.Before(f.skipUntil[i]) {
			continue
		}
		update, err := f.readFrom(ctx, source, wait)
		if err != nil {
			f.passOver(i)
			continue
		}
		f.failures[i] = 0
		answered = true
		update.ReadStartedAt = begun
		update.Source = source.Name()
		select {
		case f.deps.Updates <- update:
		case <-ctx.Done():
			return true
		}
		if len(update.Records) > 0 || update.Restored || update.FromLog {
			return true
		}
		// Only the first is waited for: a hall's members would add up to more than
		// a change may take to be in force.
		wait = 0
	}
	return answered
}

// passOver leaves out a source that failed, for longer each time.
func (f *Follower) passOver(source int) {
	pause := min(mostSkip, firstSkip<<min(f.failures[source], mostFailures))
	f.failures[source]++
	f.skipUntil[source] = f.deps.Clock.Now().Add(pause)
}

func (f *Follower) readFrom(ctx context.Context, source damsonwinch.RecordSource, wait int) (Update, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := source.Read(limited, f.state.Offset(), pageRecords, wait)
	if err != nil {
		return Update{}, err
	}
	return f.take(reply)
}

// take folds a reply. Records below the state's offset are known and a gap is
// never folded over, so that the state only goes forward.
func (f *Follower) take(reply wire.ReadReply) (Update, error) {
	update := Update{LeavingBoxes: reply.Avoid, LeavingBoxesKnown: reply.AvoidKnown, FromLog: reply.LogFresh}
	if reply.Snapshot != "" {
		restored, err := f.restore(reply.Snapshot)
		if err != nil {
			return update, err
		}
		update.Restored = restored
	}
	for _, record := range reply.Entries {
		if record.Offset < f.state.Offset() {
			continue
		}
		if record.Offset > f.state.Offset() {
			return update, fmt.Errorf("record %d came after %d: records are missing", record.Offset, f.state.Offset()-1)
		}
		was := f.state
		next, verdicts := was.Apply(record)
		f.deps.Invariants.Check(invariant.ConfigReverted, next.Table().Version() >= was.Table().Version() && next.Offset() > was.Offset(),
			"record %d took the table from version %d to %d", record.Offset, was.Table().Version(), next.Table().Version())
		f.state = next
		update.Records = append(update.Records, AppliedRecord{Record: record, Results: verdicts})
		f.checkBudgets(was, verdicts)
		f.compareCheckpoints(verdicts)
		if err := f.takeCheckpoint(&update); err != nil {
			return update, err
		}
	}
	update.State = f.state
	return update, nil
}

// restore takes a snapshot that is ahead of the state.
func (f *Follower) restore(text string) (bool, error) {
	var snapshot fold.Snapshot
	if err := json.Unmarshal([]byte(text), &snapshot); err != nil {
		return false, fmt.Errorf("read snapshot: %w", err)
	}
	if snapshot.Offset <= f.state.Offset() {
		return false, nil
	}
	restored, err := f.deps.InitialState.Restore(snapshot)
	if err != nil {
		return false, err
	}
	f.deps.Invariants.Check(invariant.ConfigReverted, restored.Table().Version() >= f.state.Table().Version(),
		"snapshot at %d took the table from version %d to %d", snapshot.Offset, f.state.Table().Version(), restored.Table().Version())
	f.state = restored
	return true, nil
}

// checkBudgets asserts that an accepted drain of a usable box leaves its pool's
// services what they need. It looks at records with one proposal, because other
// proposals of a record may change the pool after the drain.
func (f *Follower) checkBudgets(was fold.State, verdicts []fold.Result) {
	for _, verdict := range verdicts {
		if !verdict.Accepted || verdict.Proposal.Kind != wire.KindDrain {
			continue
		}
		box, _ := was.Box(verdict.Proposal.Change.Box)
		if box.Usable() && box.Pool != fold.FreePool && len(verdicts) == 1 {
			f.deps.Invariants.Check(invariant.BelowFloor, f.state.Headroom(box.Pool) >= 0,
				"the drain of %s leaves pool %s a headroom of %d", box.Info.Name, box.Pool, f.state.Headroom(box.Pool))
		}
	}
}
