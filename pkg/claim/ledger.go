// Package claim makes a request with an idempotency key run at most once: its
// key is claimed in the platform's log, and only the first claim may run.
package claim

import (
	"encoding/json"

	"damsonwinch/pkg/wire"
)

// mostKeys bounds the keys that one process remembers, about 200 bytes each.
const mostKeys = 100_000

// holding is what the log says of one key.
type holding struct {
	owner   string
	digest  string
	outcome wire.Outcome
	status  int
}

// ledger is the fold of the claims stream.
type ledger struct {
	keys  map[string]holding
	order []string
}

func newLedger() *ledger {
	return &ledger{keys: map[string]holding{}}
}

// fold takes one record; every process decides alike which claim was first.
func (l *ledger) fold(record wire.Entry) []wire.Claim {
	var batch wire.ClaimBatch
	if json.Unmarshal([]byte(record.Data), &batch) != nil {
		return nil
	}
	for _, claim := range batch.Claims {
		l.foldClaim(claim)
	}
	return batch.Claims
}

func (l *ledger) foldClaim(claim wire.Claim) {
	held, known := l.keys[claim.Key]
	if claim.Outcome != "" {
		if known && held.owner == claim.Owner {
			held.outcome, held.status = claim.Outcome, claim.Status
			l.keys[claim.Key] = held
		}
		return
	}
	if known && held.outcome != wire.OutcomeNotRun {
		return
	}
	if !known {
		l.remember(claim.Key)
	}
	l.keys[claim.Key] = holding{owner: claim.Owner, digest: claim.Digest}
}

func (l *ledger) remember(key string) {
	l.order = append(l.order, key)
	if len(l.order) <= mostKeys {
		return
	}
	delete(l.keys, l.order[0])
	l.order = l.order[1:]
}
