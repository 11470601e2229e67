package follow

import (
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/wire"
)

// heldCheckpoints is the number of hashes that a follower holds to compare.
const heldCheckpoints = 8

// takeCheckpoint notes the state's hash at offsets that all followers agree on.
func (f *Follower) takeCheckpoint(update *Update) error {
	every, offset := f.deps.CheckpointEvery, f.state.Offset()
	if every == 0 || offset%every != 0 {
		return nil
	}
	snapshot, err := f.state.Snapshot()
	if err != nil {
		return err
	}
	f.checkpoints[offset] = snapshot.Hash
	delete(f.checkpoints, offset-heldCheckpoints*every)
	update.Checkpoint = &snapshot
	return nil
}

// compareCheckpoints compares the hashes that others have published with our own.
func (f *Follower) compareCheckpoints(verdicts []fold.Result) {
	for _, verdict := range verdicts {
		published := verdict.Proposal.Checkpoint
		if verdict.Proposal.Kind != wire.KindCheckpoint || published == nil {
			continue
		}
		own, known := f.checkpoints[published.Offset]
		f.deps.Invariants.Check(invariant.StateDiverged, !known || own == published.Hash,
			"%s has hash %s at offset %d, folding gave %s", verdict.Author, published.Hash, published.Offset, own)
	}
}
