package cell

import (
	"time"

	"damsonwinch/pkg/crash"
)

// Options holds the limits and intervals of a cell. Those that no other component defines come from
// the deployment's settings.
type Options struct {
	// MaxLease is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// RenewalGrace is how long an owner that cannot reach the store may go on renewing leases. A
	// new owner waits that much longer before it treats the leases of unreachable endpoints as
	// expired.
	RenewalGrace time.Duration
	// MaxStopTime is the longest time that a task takes to end after it has been stopped.
	MaxStopTime time.Duration
	// RestoreTime is how long a task takes to resume from a checkpoint.
	RestoreTime time.Duration
	// MaxStartDelay bounds the time from the sending of a start request until it takes effect. An
	// endpoint refuses a start that arrives later.
	MaxStartDelay time.Duration
	// MinCommitInterval is the shortest time between two appends. Each append has a cost, and the
	// changes that accumulate meanwhile share one.
	MinCommitInterval time.Duration
	// PollWait is how long a poll of an endpoint with runs waits there for a run to end.
	PollWait time.Duration
	// IdlePollInterval is the time between polls of an endpoint without runs.
	IdlePollInterval time.Duration
	// PollRetryInterval is the time between polls of an endpoint that does not answer.
	PollRetryInterval time.Duration
	// BoxLeadTime is the time from the request for another box until that box can run tasks.
	BoxLeadTime time.Duration
	// CrashRules decide which tasks are suspected of crashing their endpoints and when such a task
	// is given up. The zero value stands for crash.DefaultRules.
	CrashRules crash.Rules
	// MaxEvacuationAge is how long ago the operator's evacuations must have been known in full for a
	// task to start. With 0 there is no limit.
	MaxEvacuationAge time.Duration
	// MaxRecordBytes is the length of the longest record that the store takes, with its key. 0 stands for
	// DefaultMaxRecordBytes.
	MaxRecordBytes int
	// RangesOnly has the done tasks of all jobs recorded as ranges, also of those whose records have room for a row for
	// each task. Earlier versions can't read ranges.
	RangesOnly bool
	// EndedJobRetention is how long a job can still be queried after it has ended.
	EndedJobRetention time.Duration
}

// DefaultMaxRecordBytes is the limit of a record on the users' platform so far.
const DefaultMaxRecordBytes = 262_144
