package cell

import (
	"time"

	"damsonwinch/pkg/crash"
)

// Options are the times by which a cell decides. Those without another source
// come from the deployment's settings.
type Options struct {
	// MaxLease is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// RenewalGrace is how long an owner that lost the store may go on prolonging
	// leases; a new owner waits that much longer for endpoints it can't reach.
	RenewalGrace time.Duration
	// MaxStopTime is the longest time that a stopped task takes to end.
	MaxStopTime time.Duration
	// RestoreTime is how long a task takes to go on from a checkpoint.
	RestoreTime time.Duration
	// MaxStartDelay bounds how late a start may take effect.
	MaxStartDelay time.Duration
	// MinCommitInterval is the least time between two appends: each has a price, and
	// what comes up meanwhile shares one.
	MinCommitInterval time.Duration
	// PollWait is how long a look at a busy endpoint waits for an end.
	PollWait time.Duration
	// IdlePollInterval is the time between looks at an endpoint without runs.
	IdlePollInterval time.Duration
	// PollRetryInterval is the time between looks at an endpoint that doesn't answer.
	PollRetryInterval time.Duration
	// BoxLeadTime is the time from the wish for another box until it can run tasks.
	BoxLeadTime time.Duration
	// CrashRules are the rules by which tasks that crash their endpoints are told, zero for the
	// usual ones.
	CrashRules crash.Rules
	// EndedJobRetention is how long an ended job can still be asked for.
	EndedJobRetention time.Duration
}

// clockDriftFactor covers a steady clock that runs 2% slow, as the platform allows,
// and a little more.
const clockDriftFactor = 1.03
