package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/wire"
)

const (
	// appendTimeout bounds an append to the log and a read of the platform's list.
	appendTimeout = 2 * time.Second
	// appendInterval is the time between two appends of one keeper. The log takes
	// about 100 appends per second from all its clients together.
	appendInterval = 50 * time.Millisecond
	// maxAppendBackoff bounds the pause after failed appends.
	maxAppendBackoff = 2 * time.Second
	// maxBatchProposals is the maximum number of proposals that wait for the next
	// batch, not counting operators' edits. Further proposals are dropped; they are
	// made again later.
	maxBatchProposals = 500
)

// outbox collects the keeper's proposals until its next append.
type outbox struct {
	incarnation int
	// lastNumber is the number of the last batch.
	lastNumber int
	// queued holds the proposals for the next batch, except edits.
	queued []wire.Proposal
	// edits are the operators' edits whose results are not known yet. Unlike other
	// proposals they must not get lost.
	edits    []pendingEdit
	inFlight bool // An append is in progress.
	// failures is the number of failed appends in a row.
	failures     int
	nextAppendAt time.Time
	lastSentAt   time.Time
}

// pendingEdit is an operator's edit whose result is not known yet. It is sent again
// only when the batch that held it can no longer be applied.
type pendingEdit struct {
	proposal    wire.Proposal
	batchNumber int // Number of the batch that holds it; 0 if none does.
}

func newOutbox(incarnation int) outbox {
	return outbox{incarnation: incarnation}
}

// add adds a proposal. It replaces a queued one that is about the same subject.
func (o *outbox) add(proposal wire.Proposal) {
	if proposal.Kind == wire.KindEdit {
		o.edits = append(o.edits, pendingEdit{proposal: proposal})
		return
	}
	for i, earlier := range o.queued {
		if sameSubject(earlier, proposal) {
			o.queued[i] = proposal
			return
		}
	}
	if len(o.queued) < maxBatchProposals {
		o.queued = append(o.queued, proposal)
	}
}

// sameSubject reports whether two proposals are of the same kind and about the same
// box or release. Two renewals always have the same subject, and so have two
// enrollments or two checkpoints.
func sameSubject(a, b wire.Proposal) bool {
	if a.Kind != b.Kind {
		return false
	}
	switch {
	case a.Change != nil && b.Change != nil:
		return a.Change.Box == b.Change.Box
	case a.Release != nil && b.Release != nil:
		return *a.Release == *b.Release
	}
	return a.Kind == wire.KindRenew || a.Kind == wire.KindEnroll || a.Kind == wire.KindCheckpoint
}

// applyRecords drops the edits whose results are in applied records, and marks those
// to be sent again whose batch can no longer be applied. state is the state after
// the records.
func (o *outbox) applyRecords(state fleetstate.State, records []follow.AppliedRecord) {
	applied := map[string]bool{}
	for _, record := range records {
		for _, result := range record.Results {
			applied[result.Proposal.Id] = true
		}
	}
	last := state.LastBatchNumber(o.incarnation)
	kept := o.edits[:0]
	for _, edit := range o.edits {
		if applied[edit.proposal.Id] {
			continue
		}
		if edit.batchNumber != 0 && edit.batchNumber < last {
			// A later batch has been applied, so that this one would be refused.
			edit.batchNumber = 0
		}
		kept = append(kept, edit)
	}
	o.edits = kept
}

// hasSentEdit reports whether there is an edit that is in a sent batch and whose
// result is not known.
func (o *outbox) hasSentEdit() bool {
	for _, edit := range o.edits {
		if edit.batchNumber != 0 {
			return true
		}
	}
	return false
}

// awaitsLastBatch reports whether the last batch may still be applied but the state
// doesn't include it yet. After appendTimeout the batch counts as lost.
func (o *outbox) awaitsLastBatch(state fleetstate.State, now time.Time) bool {
	if o.inFlight {
		return true
	}
	return o.lastNumber > state.LastBatchNumber(o.incarnation) && now.Before(o.lastSentAt.Add(appendTimeout))
}

// takeBatch returns the proposals for the next batch, and removes those that are not
// edits from the outbox.
func (o *outbox) takeBatch() []wire.Proposal {
	proposals := o.queued
	o.queued = nil
	for i, edit := range o.edits {
		if edit.batchNumber == 0 {
			proposals = append(proposals, edit.proposal)
			o.edits[i].batchNumber = o.lastNumber + 1
		}
	}
	return proposals
}

// flush starts the next append if it is due and there are proposals. After a failed
// append it also appends an empty batch while the result of an edit is not known:
// once that batch is applied, the edit's own batch can no longer be applied.
func (k *Keeper) flush(ctx context.Context) {
	now := k.now()
	if k.outbox.inFlight || now.Before(k.outbox.nextAppendAt) {
		return
	}
	proposals := k.outbox.takeBatch()
	if len(proposals) == 0 && (k.outbox.failures == 0 || !k.outbox.hasSentEdit()) {
		return
	}
	k.outbox.lastNumber++
	number := k.outbox.lastNumber
	batch := wire.Batch{
		Id:          fmt.Sprintf("%s/%d/%d", k.node(), k.incarnation, number),
		Node:        k.node(),
		Incarnation: k.incarnation,
		Number:      number,
		Proposals:   proposals,
	}
	data, err := json.Marshal(batch)
	if err != nil {
		k.deps.Logger.WithError(err).Error("cannot encode batch; its proposals are lost")
		return
	}
	k.outbox.inFlight = true
	k.outbox.lastSentAt = now
	k.deps.Metrics.Add("appends", 1)
	k.deps.Metrics.Add("append_bytes", len(data))
	k.group.Go(func() error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := k.deps.Log.Append(appendCtx, damsonwinch.StreamFleet, string(data))
		k.send(ctx, appendedMessage{number: number, err: err})
		return nil
	})
}

// handleAppended sets the time of the next append. It does not repeat a failed
// append, which may have taken effect: its proposals are decided anew on a newer
// state.
func (k *Keeper) handleAppended(message appendedMessage) {
	k.outbox.inFlight = false
	pause := appendInterval
	if message.err != nil {
		k.outbox.failures++
		k.deps.Metrics.Add("append_failures", 1)
		pause = min(maxAppendBackoff, appendInterval<<min(k.outbox.failures, 8))
		if k.outbox.failures == 1 {
			k.deps.Logger.WithError(message.err).Warn("log does not take appends")
		}
	} else if k.outbox.failures > 0 {
		k.outbox.failures = 0
		k.deps.Logger.Info("log takes appends again")
	}
	k.outbox.nextAppendAt = k.now().Add(pause)
}
