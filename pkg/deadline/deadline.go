// Package deadline gives calls a time by which they are to be over, for callers that have
// thousands of them under way: a deadline of the standard library costs each a timer and
// entries with its parents.
package deadline

import (
	"context"
	"time"
)

// bounded is a context that tells of a deadline and doesn't keep it.
type bounded struct {
	context.Context
	at time.Time
}

// With returns a context that ends when its parent does and tells of a deadline. It doesn't
// end by itself then: whoever makes the call sets the deadline on what it waits for, as
// calls over sockets do anyway.
func With(parent context.Context, at time.Time) context.Context {
	if earlier, has := parent.Deadline(); has && earlier.Before(at) {
		return parent
	}
	return bounded{Context: parent, at: at}
}

// Deadline implements context.Context.
func (b bounded) Deadline() (time.Time, bool) {
	return b.at, true
}
