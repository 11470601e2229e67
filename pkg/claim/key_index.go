// Package claim makes sure that a request with an idempotency key runs at most
// once: an entry claims the key in the platform's log, and only the request of the
// first claim may run.
package claim

import (
	"encoding/json"

	"damsonwinch/pkg/wire"
)

// maxKeys is how many keys a process remembers, at about 200 bytes each.
const maxKeys = 100_000

// keyState is what the log says about one key.
type keyState struct {
	owner   string // Owner of the claim that has the key.
	digest  string // Digest of the body of its request.
	outcome wire.Outcome
	status  int // HTTP status, once there is an outcome.
}

// keyIndex holds the states of the newest keys in the claims stream.
type keyIndex struct {
	states map[string]keyState
	order  []string // Keys in order of their first claims, oldest first.
}

func newKeyIndex() *keyIndex {
	return &keyIndex{states: map[string]keyState{}}
}

// apply applies one record of the stream and returns its claims. It is
// deterministic, so that all processes agree on which claim of a key was first.
func (x *keyIndex) apply(record wire.Entry) []wire.Claim {
	var batch wire.ClaimBatch
	if json.Unmarshal([]byte(record.Data), &batch) != nil {
		return nil
	}
	for _, claim := range batch.Claims {
		x.applyClaim(claim)
	}
	return batch.Claims
}

// applyClaim records the outcome of a key's owner or, if the key is new or its
// last request did not run, its new owner.
func (x *keyIndex) applyClaim(claim wire.Claim) {
	state, known := x.states[claim.Key]
	if claim.Outcome != "" {
		if known && state.owner == claim.Owner {
			state.outcome, state.status = claim.Outcome, claim.Status
			x.states[claim.Key] = state
		}
		return
	}
	if known && state.outcome != wire.OutcomeNotRun {
		return
	}
	if !known {
		x.remember(claim.Key)
	}
	x.states[claim.Key] = keyState{owner: claim.Owner, digest: claim.Digest}
}

// remember adds a key, and forgets the oldest one if there are more than maxKeys.
func (x *keyIndex) remember(key string) {
	x.order = append(x.order, key)
	if len(x.order) <= maxKeys {
		return
	}
	delete(x.states, x.order[0])
	x.order = x.order[1:]
}
