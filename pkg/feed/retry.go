package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/idle"
)

// retryPolicy holds how long a feed waits for the start of an answer, and how long it waits after a
// failed read. Both grow while the store is overloaded, because each read that is given up and sent
// again makes the store serve the same records once more. Otherwise 147 feeds that read 1.15 MB each
// from a store of 80 MB/s would never be served.
type retryPolicy struct {
	answerTimeout time.Duration
	retryDelay    time.Duration
}

const (
	// overloadAnswerTimeout is the answer timeout for a store that answers other calls. Such a store
	// refuses a call that would wait for more than two seconds.
	overloadAnswerTimeout = 2400 * time.Millisecond
	// maxRetryDelay bounds the time between two reads that the store refuses, before jitter.
	maxRetryDelay = 1600 * time.Millisecond
)

// newRetryPolicy returns the policy for a store that isn't overloaded.
func newRetryPolicy() retryPolicy {
	return retryPolicy{answerTimeout: defaultAnswerTimeout, retryDelay: initialRetryDelay}
}

// reset returns to the initial policy after an answer.
func (p *retryPolicy) reset() {
	*p = newRetryPolicy()
}

// recordFailure adapts the policy to a failed read. readCtx is the context of the read. answeredOthers
// reports whether the store has answered another call since the read was sent. If it has, the network
// is not at fault: either the connection of the read is dead, and the next read uses another one, or
// the store serves other reads first.
func (p *retryPolicy) recordFailure(readCtx context.Context, err error, answeredOthers bool) {
	switch {
	case errors.Is(err, damsonwinch.ErrRefused):
		p.answerTimeout, p.retryDelay = overloadAnswerTimeout, min(maxRetryDelay, 2*p.retryDelay)
	case answeredOthers && errors.Is(context.Cause(readCtx), idle.ErrTimeout) && !idle.AnswerStarted(readCtx):
		p.answerTimeout, p.retryDelay = overloadAnswerTimeout, initialRetryDelay
	default:
		*p = newRetryPolicy()
	}
}

// nextDelay returns the time until the next read. Delays longer than the initial one have jitter, since
// many feeds may retry at once.
func (p *retryPolicy) nextDelay() time.Duration {
	if p.retryDelay == initialRetryDelay {
		return initialRetryDelay
	}
	return p.retryDelay/2 + rand.N(p.retryDelay)
}
