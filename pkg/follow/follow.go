// Package follow keeps a process's copy of the fleet's state. A follower reads records from the first
// source that has new ones, applies them to the state and passes the result on.
package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"damsonwinch"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/wire"
)

const (
	maxRecordsPerRead = 500
	// defaultWaitMs is the default of Deps.WaitMs, in milliseconds.
	defaultWaitMs = 500
	readTimeout   = 2 * time.Second
	// initialSkip is how long a source is skipped after a failure. The time doubles with each
	// further failure in a row, up to maxSkip.
	initialSkip = 500 * time.Millisecond
	maxSkip     = 4 * time.Second
	// maxSkipDoublings keeps the doubling from overflowing.
	maxSkipDoublings = 8
	// initialBackoff and maxBackoff bound the pause after a pass over the sources in which none has
	// answered.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// AppliedRecord is a record that has been applied, with the results of its proposals.
type AppliedRecord struct {
	Record  wire.Entry
	Results []fleetstate.Result
}

// ChangesFleet reports whether the record contains an accepted proposal that isn't a renewal or a
// checkpoint.
func (r AppliedRecord) ChangesFleet() bool {
	for _, result := range r.Results {
		kind := result.Proposal.Kind
		if result.Accepted && kind != wire.KindRenew && kind != wire.KindCheckpoint {
			return true
		}
	}
	return false
}

// Update is what a follower passes on after a successful read.
type Update struct {
	State   fleetstate.State
	Records []AppliedRecord
	// Restored reports whether the state was taken from a snapshot, so that the records in between
	// are missing from Records.
	Restored bool
	// Checkpoint is the snapshot of the state at the newest checkpoint that the records have passed,
	// or nil if they have passed none.
	Checkpoint *fleetstate.Snapshot
	// LeavingBoxes names the boxes that are leaving or gone in the platform's list. It is valid if
	// LeavingBoxesKnown, which means that the source has read the list.
	LeavingBoxes      []string
	LeavingBoxesKnown bool
	// Source is the name of the source.
	Source string
	// FromLog reports whether the source reads the platform's log: it is the log itself or a keeper
	// that has read the log recently.
	FromLog bool
	// ReadStartedAt is when the read started, by the follower's clock.
	ReadStartedAt time.Time
}

// Deps holds the dependencies of a follower.
type Deps struct {
	Clock damsonwinch.Clock
	// Sources are tried in this order.
	Sources    []damsonwinch.RecordSource
	Invariants *invariant.Checker
	// InitialState is the state before the first record.
	InitialState fleetstate.State
	// Updates receives an update after each successful read.
	Updates chan<- Update
	// CheckpointEvery is the number of records between two checkpoints, or 0 for none.
	CheckpointEvery int
	// WaitMs is how long the first source that answers may wait for a new record, in milliseconds. 0
	// means defaultWaitMs.
	WaitMs int
}

// Follower applies the records of the fleet stream to its copy of the state.
type Follower struct {
	deps  Deps
	state fleetstate.State
	// skipUntil is the time before which a source isn't read, and failures the number of its failures
	// in a row, both by the source's index in Sources.
	skipUntil []time.Time
	failures  []int
	// checkpoints holds the hashes of the newest checkpoints by their offsets.
	checkpoints map[int]string
}

// New returns a follower whose state is InitialState. It reads nothing before Run is called.
func New(deps Deps) *Follower {
	if deps.WaitMs == 0 {
		deps.WaitMs = defaultWaitMs
	}
	return &Follower{deps: deps, state: deps.InitialState, skipUntil: make([]time.Time, len(deps.Sources)),
		failures: make([]int, len(deps.Sources)), checkpoints: map[int]string{}}
}

// Run reads and applies records until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = initialBackoff, maxBackoff
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

// readFromAny reads from the sources in order until one has new records or reads the platform's log
// itself. It reports whether any source has answered. A source that has failed is skipped for a while, so
// that it doesn't delay the reads from the others. After a source without new records the next one is
// read in the same pass, since it may have newer records.
func (f *Follower) readFromAny(ctx context.Context) bool {
	answered, waitMs := false, f.deps.WaitMs
	for i, source := range f.deps.Sources {
		started := f.deps.Clock.Now()
		if started.Before(f.skipUntil[i]) {
			continue
		}
		update, err := f.readFrom(ctx, source, waitMs)
		if err != nil {
			f.skip(i)
			continue
		}
		f.failures[i] = 0
		answered = true
		update.ReadStartedAt = started
		update.Source = source.Name()
		select {
		case f.deps.Updates <- update:
		case <-ctx.Done():
			return true
		}
		if len(update.Records) > 0 || update.Restored || update.FromLog {
			return true
		}
		// Only the first source that answers may wait for records. If all members of a zone waited, one
		// after the other, a change would take effect later than is allowed.
		waitMs = 0
	}
	return answered
}

// skip makes the follower skip a source, given by its index, after a failure. The time doubles with each
// further failure in a row.
func (f *Follower) skip(source int) {
	pause := min(maxSkip, initialSkip<<min(f.failures[source], maxSkipDoublings))
	f.failures[source]++
	f.skipUntil[source] = f.deps.Clock.Now().Add(pause)
}

// readFrom reads from one source, which may wait waitMs milliseconds for a record, and applies the reply.
func (f *Follower) readFrom(ctx context.Context, source damsonwinch.RecordSource, waitMs int) (Update, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := source.Read(limited, f.state.Offset(), maxRecordsPerRead, waitMs)
	if err != nil {
		return Update{}, err
	}
	return f.applyReply(reply)
}

// applyReply applies the records or the snapshot of a reply. It ignores records below the state's offset
// and returns an error if records are missing, so that the offset only rises and no record is left out.
func (f *Follower) applyReply(reply wire.ReadReply) (Update, error) {
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
		previous := f.state
		next, results := previous.Apply(record)
		f.deps.Invariants.Check(invariant.ConfigReverted, next.Table().Version() >= previous.Table().Version() && next.Offset() > previous.Offset(),
			"record %d took the table from version %d to %d", record.Offset, previous.Table().Version(), next.Table().Version())
		f.state = next
		update.Records = append(update.Records, AppliedRecord{Record: record, Results: results})
		f.checkBudgets(previous, results)
		f.compareCheckpoints(results)
		if err := f.recordCheckpoint(&update); err != nil {
			return update, err
		}
	}
	update.State = f.state
	return update, nil
}

// restore replaces the state by a snapshot in JSON if that is newer. It reports whether it did.
func (f *Follower) restore(text string) (bool, error) {
	var snapshot fleetstate.Snapshot
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

// checkBudgets checks the invariant BelowFloor: an accepted drain of a usable box leaves the pool with
// the slots that its services need. It checks only records with one proposal, since other proposals of
// the record may change the pool after the drain.
func (f *Follower) checkBudgets(previous fleetstate.State, results []fleetstate.Result) {
	for _, result := range results {
		if !result.Accepted || result.Proposal.Kind != wire.KindDrain {
			continue
		}
		box, _ := previous.Box(result.Proposal.Change.Box)
		if box.Usable() && box.Pool != fleetstate.FreePool && len(results) == 1 {
			f.deps.Invariants.Check(invariant.BelowFloor, f.state.Headroom(box.Pool) >= 0,
				"the drain of %s leaves pool %s a headroom of %d", box.Info.Name, box.Pool, f.state.Headroom(box.Pool))
		}
	}
}
