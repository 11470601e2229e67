package keeper

import (
	"context"
	"encoding/json"

	"damsonwinch"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/wire"
)

// writeSnapshot keeps the state of a checkpoint in the log before its records
// expire, and publishes its hash, so that every keeper compares its own.
func (k *Keeper) writeSnapshot(ctx context.Context, snapshot fold.Snapshot) {
	if !k.leadsFleet() {
		return
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		k.deps.Logger.WithError(err).Error("snapshot can't be written")
		return
	}
	k.propose(wire.Proposal{
		Kind: wire.KindCheckpoint, Cause: "for comparison", Checkpoint: &wire.Checkpoint{Offset: snapshot.Offset, Hash: snapshot.Hash},
	})
	k.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := k.deps.Log.Append(limited, damsonwinch.StreamSnapshots, string(text)); err != nil {
			k.deps.Metrics.Add("snapshot_failures", 1)
			return nil
		}
		k.deps.Metrics.Add("snapshots", 1)
		return nil
	})
}
