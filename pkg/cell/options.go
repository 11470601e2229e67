package cell

import (
	"time"

	"damsonwinch/pkg/crash"
)

// Options are the times by which a cell decides. Those without another source
// come from the deployment's settings.
type Options struct {
	// MostLease is the longest lease that an endpoint grants.
	MostLease time.Duration
	// TokenGrace is how long an owner that lost the store may go on prolonging
	// leases; a new owner waits that much longer for endpoints it can't reach.
	TokenGrace time.Duration
	// StopTime is the longest time that a stopped task takes to end.
	StopTime time.Duration
	// RestoreTime is how long a task takes to go on from a checkpoint.
	RestoreTime time.Duration
	// StartLate bounds how late a start may take effect.
	StartLate time.Duration
	// CommitGap is the least time between two appends: each has a price, and
	// what comes up meanwhile shares one.
	CommitGap time.Duration
	// LookWait is how long a look at a busy endpoint waits for an end.
	LookWait time.Duration
	// IdleLook is the time between looks at an endpoint without runs.
	IdleLook time.Duration
	// RetryLook is the time between looks at an endpoint that doesn't answer.
	RetryLook time.Duration
	// BoxAhead is the time from the wish for another box until it can run tasks.
	BoxAhead time.Duration
	// Blame are the rules by which tasks that crash their endpoints are told, zero for the
	// usual ones.
	Blame crash.Rules
	// KeepEnded is how long an ended job can still be asked for.
	KeepEnded time.Duration
}

// clockSlack covers a steady clock that runs 2% slow, as the platform allows,
// and a little more.
const clockSlack = 1.03
