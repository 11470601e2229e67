package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"damsonwinch/pkg/wire"
)

const (
	// maxSubmissionDelay is how long a submission may wait in the inbox; a longer wait makes the owner
	// refuse it. An owner that keeps up handles a submission within 20 ms. If an owner doesn't keep up,
	// all its jobs are late, and each further job adds records and starts for which it has no time. An
	// owner that accepted every submission fell 1.5 to 2.1 s behind and needed 20 s to catch up.
	maxSubmissionDelay = 700 * time.Millisecond
	// A refused client should retry after minRetryAfter plus a part of retryAfterSpread, since the
	// clients must not all retry at once. The owner catches up in about a second.
	minRetryAfter    = 700 * time.Millisecond
	retryAfterSpread = 1300 * time.Millisecond
)

// isOverloaded reports whether the submission m must be refused because the owner can't keep up. A job
// that the cell already has is never refused, because a refusal says that the job will never run.
func (o *Owner) isOverloaded(now time.Time, m jobChange) bool {
	return now.Sub(m.receivedAt) > maxSubmissionDelay && !o.cell.HasJob(m.args.Id)
}

// refuseOverloaded counts and logs the refusal of a submission and returns the reply to it. A hash of
// the job's ID determines when the client should retry.
func (o *Owner) refuseOverloaded(now time.Time, m jobChange) wire.JobReply {
	waited := now.Sub(m.receivedAt)
	o.deps.Metrics.Add("submissions_refused_behind", 1)
	o.deps.Logger.WithFields(logrus.Fields{"job": m.args.Id, "waited_ms": waited.Milliseconds()}).Info("job refused: the owner can't keep up")
	spread := time.Duration(xxhash.Sum64String(m.args.Id) % uint64(retryAfterSpread))
	return wire.JobReply{
		Outcome: wire.JobOutcomeRefused, Reason: "the owner of the cell can't keep up", RetryAfterMs: int((minRetryAfter + spread).Milliseconds()),
	}
}
