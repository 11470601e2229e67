package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/follow"
	"damsonwinch/pkg/wire"
)

const (
	appendTimeout = 2 * time.Second
	// appendEvery spaces the appends of one keeper: the log takes about a
	// hundred a second from everybody.
	appendEvery = 50 * time.Millisecond
	// mostBackoff bounds the pause after failed appends.
	mostBackoff = 2 * time.Second
	// mostProposals bounds one batch.
	mostProposals = 500
)

// outbox collects what the keeper wants to say until its next append.
type outbox struct {
	incarnation int
	number      int
	waiting     []wire.Proposal
	// operators are proposals that must be said until they are folded.
	operators []operatorProposal
	inFlight  bool
	failures  int
	next      time.Time
	sentAt    time.Time
}

// operatorProposal is an operator's edit on its way. It is said again only when
// the batch that carried it can no longer be folded.
type operatorProposal struct {
	proposal wire.Proposal
	sentIn   int // Batch number, 0 while not sent.
}

func newOutbox(incarnation int) outbox {
	return outbox{incarnation: incarnation}
}

// put adds a proposal unless the same is waiting already.
func (o *outbox) put(proposal wire.Proposal) {
	if proposal.Kind == wire.KindEdit {
		o.operators = append(o.operators, operatorProposal{proposal: proposal})
		return
	}
	for i, waiting := range o.waiting {
		if sameSubject(waiting, proposal) {
			o.waiting[i] = proposal
			return
		}
	}
	if len(o.waiting) < mostProposals {
		o.waiting = append(o.waiting, proposal)
	}
}

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

// settle notes which operators' proposals were folded.
func (o *outbox) settle(state fold.State, records []follow.AppliedRecord) {
	folded := map[string]bool{}
	for _, record := range records {
		for _, verdict := range record.Results {
			folded[verdict.Proposal.Id] = true
		}
	}
	last := state.LastBatchNumber(o.incarnation)
	kept := o.operators[:0]
	for _, operator := range o.operators {
		if folded[operator.proposal.Id] {
			continue
		}
		if operator.sentIn != 0 && operator.sentIn < last {
			// A later batch is folded and this one is not: it never will be.
			operator.sentIn = 0
		}
		kept = append(kept, operator)
	}
	o.operators = kept
}

// unsettled says whether an operator's proposal was sent and not yet seen.
func (o *outbox) unsettled() bool {
	for _, operator := range o.operators {
		if operator.sentIn != 0 {
			return true
		}
	}
	return false
}

// unread says whether the last batch may still be folded. One that is lost is
// given up after a while.
func (o *outbox) unread(state fold.State, now time.Time) bool {
	if o.inFlight {
		return true
	}
	return o.number > state.LastBatchNumber(o.incarnation) && now.Before(o.sentAt.Add(appendTimeout))
}

// take removes what the next batch carries.
func (o *outbox) take() []wire.Proposal {
	proposals := o.waiting
	o.waiting = nil
	for i, operator := range o.operators {
		if operator.sentIn == 0 {
			proposals = append(proposals, operator.proposal)
			o.operators[i].sentIn = o.number + 1
		}
	}
	return proposals
}

// flush starts the next append when it is time and there is something to say.
func (k *Keeper) flush(ctx context.Context) {
	now := k.now()
	if k.outbox.inFlight || now.Before(k.outbox.next) {
		return
	}
	proposals := k.outbox.take()
	if len(proposals) == 0 && (k.outbox.failures == 0 || !k.outbox.unsettled()) {
		return
	}
	k.outbox.number++
	number := k.outbox.number
	batch := wire.Batch{
		Id:          fmt.Sprintf("%s/%d/%d", k.node(), k.incarnation, number),
		Node:        k.node(),
		Incarnation: k.incarnation,
		Number:      number,
		Proposals:   proposals,
	}
	data, err := json.Marshal(batch)
	if err != nil {
		k.deps.Logger.WithError(err).Error("batch can't be written; its proposals are lost")
		return
	}
	k.outbox.inFlight = true
	k.outbox.sentAt = now
	k.deps.Metrics.Add("appends", 1)
	k.deps.Metrics.Add("append_bytes", len(data))
	k.group.Go(func() error {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := k.deps.Log.Append(limited, damsonwinch.StreamFleet, string(data))
		k.send(ctx, appendedMessage{number: number, err: err})
		return nil
	})
}

// takeAppended goes on after an append. One that failed is not repeated: it may
// have taken effect, and what it said is said anew from the state as it is then.
func (k *Keeper) takeAppended(message appendedMessage) {
	k.outbox.inFlight = false
	pause := appendEvery
	if message.err != nil {
		k.outbox.failures++
		k.deps.Metrics.Add("append_failures", 1)
		pause = min(mostBackoff, appendEvery<<min(k.outbox.failures, 8))
		if k.outbox.failures == 1 {
			k.deps.Logger.WithError(message.err).Warn("log does not take appends")
		}
	} else if k.outbox.failures > 0 {
		k.outbox.failures = 0
		k.deps.Logger.Info("log takes appends again")
	}
	k.outbox.next = k.now().Add(pause)
}
