package keeper

import (
	"context"
	"encoding/json"

	"damsonwinch"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/wire"
)

// writeSnapshot appends a snapshot of the state to the log if this keeper leads the
// fleet, because the records that led to the state will expire. It also proposes the
// state's hash, with which all processes compare the hash of their own state.
func (k *Keeper) writeSnapshot(ctx context.Context, snapshot fleetstate.Snapshot) {
	if !k.leadsFleet() {
		return
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		k.deps.Logger.WithError(err).Error("cannot encode snapshot")
		return
	}
	k.propose(wire.Proposal{
		Kind: wire.KindCheckpoint, Cause: "for comparison", Checkpoint: &wire.Checkpoint{Offset: snapshot.Offset, Hash: snapshot.Hash},
	})
	k.group.Go(func() error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := k.deps.Log.Append(appendCtx, damsonwinch.StreamSnapshots, string(text)); err != nil {
			k.deps.Metrics.Add("snapshot_failures", 1)
			return nil
		}
		k.deps.Metrics.Add("snapshots", 1)
		return nil
	})
}
