// Package deadline provides contexts that carry a deadline without a timer, for callers that have
// thousands of calls in flight: context.WithDeadline costs a timer and entries in the parent
// contexts for each call.
package deadline

import (
	"context"
	"time"
)

// deadlineContext is a context that reports a deadline but isn't cancelled at that time.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// With returns a context that reports the given deadline, or that of parent if that is earlier. The
// context is cancelled only when parent is, not at the deadline. The code that makes a call has to
// apply the deadline to everything for which it waits, as calls over sockets do anyway.
func With(parent context.Context, deadline time.Time) context.Context {
	if earlier, has := parent.Deadline(); has && earlier.Before(deadline) {
		return parent
	}
	return deadlineContext{Context: parent, deadline: deadline}
}

// Deadline implements context.Context. It always reports a deadline.
func (c deadlineContext) Deadline() (time.Time, bool) {
	return c.deadline, true
}
