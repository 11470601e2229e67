package follow

import (
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/invariant"
	"damsonwinch/pkg/wire"
)

// keptCheckpoints is the number of checkpoints whose hashes a follower keeps for comparison.
const keptCheckpoints = 8

// recordCheckpoint takes a snapshot if the state's offset is a multiple of CheckpointEvery, so that all
// followers take theirs at the same offsets. It keeps the hash and adds the snapshot to the update.
func (f *Follower) recordCheckpoint(update *Update) error {
	every, offset := f.deps.CheckpointEvery, f.state.Offset()
	if every == 0 || offset%every != 0 {
		return nil
	}
	snapshot, err := f.state.Snapshot()
	if err != nil {
		return err
	}
	f.checkpoints[offset] = snapshot.Hash
	delete(f.checkpoints, offset-keptCheckpoints*every)
	update.Checkpoint = &snapshot
	return nil
}

// compareCheckpoints checks the invariant StateDiverged: the hashes that other processes have published
// equal the hashes of this follower at the same offsets.
func (f *Follower) compareCheckpoints(results []fleetstate.Result) {
	for _, result := range results {
		published := result.Proposal.Checkpoint
		if result.Proposal.Kind != wire.KindCheckpoint || published == nil {
			continue
		}
		own, known := f.checkpoints[published.Offset]
		f.deps.Invariants.Check(invariant.StateDiverged, !known || own == published.Hash,
			"%s has hash %s at offset %d, this process has %s", result.Author, published.Hash, published.Offset, own)
	}
}
