// Package admission decides whether a job is accepted or refused while a cell is full, from the time at
// which the job is expected to be done. A refusal is useful only if the client is served better by
// coming back: a job over its customer's share is refused if it is not expected to be in time, and any
// other job only if it certainly can't be.
//
// The package does no I/O and reads no clock.
package admission

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Job is a job that asks for admission.
type Job struct {
	ID       string
	Customer string
	// WithinMs is the time until the deadline, PathMs the expected time of the critical path, and
	// MinPathMs the least time that it may take.
	WithinMs  int
	PathMs    int
	MinPathMs int
	// CPU is what the tasks that can start at once need, in thousandths of a core.
	CPU       int
	OverShare bool
}

// Queue is what is in front of the job.
type Queue struct {
	// AheadCPU is what the waiting tasks need that go before the job's, in thousandths of a core.
	AheadCPU int
	// FreeCPU is what is free now, and FreedCPUPerMs what becomes free in each millisecond because
	// tasks end.
	FreeCPU       int
	FreedCPUPerMs float64
	// BoxLeadMs is how long it takes to get another box, or 0 if there will be none.
	BoxLeadMs int
	// Refused is the number of the customer's refused jobs that have not come back, and Entitled its
	// share in jobs per second.
	Refused  int
	Entitled int
}

const (
	// overShareTurnover is the part of the freed CPU that a job over its customer's share can count on.
	// The rest goes to jobs within their shares that arrive meanwhile and to later phases.
	overShareTurnover = 0.5
	// certainTurnover is how many times the freed CPU a job within its customer's share may get in the
	// best case. Tasks may be shorter than the mean, and boxes that are on their way to the cell are
	// not in the counts of its owner.
	certainTurnover = 2
)

const (
	// A refused client comes back no sooner than minRetryAfter, so that it is not counted twice within
	// the second for which arrivals are counted, and no later than maxRetryAfter plus maxRetrySpread.
	minRetryAfter  = 1000 * time.Millisecond
	maxRetryAfter  = 4000 * time.Millisecond
	minRetrySpread = 500 * time.Millisecond
	maxRetrySpread = 4000 * time.Millisecond
)

// Verdict is a decision on a job.
type Verdict struct {
	Accept bool
	// WaitMs is the estimated time until the job's first tasks start.
	WaitMs int
	// RetryAfterMs is when the client of a refused job should come back.
	RetryAfterMs int
	Reason       string
}

// Decide decides on a job. While there is free capacity for it and for all that goes before it, the job
// is accepted. It also is if nothing is known of the capacity.
func Decide(job Job, queue Queue) Verdict {
	lacking := queue.AheadCPU + job.CPU - queue.FreeCPU
	if lacking <= 0 || queue.FreedCPUPerMs <= 0 {
		return Verdict{Accept: true}
	}
	turnover, pathMs := float64(certainTurnover), job.MinPathMs
	if job.OverShare {
		turnover, pathMs = overShareTurnover, job.PathMs
	}
	waitMs := int(float64(lacking) / (turnover * queue.FreedCPUPerMs))
	if !job.OverShare && queue.BoxLeadMs > 0 {
		// In the best case, boxes that are ordered now are enough for all that waits.
		waitMs = min(waitMs, queue.BoxLeadMs)
	}
	lateMs := waitMs + pathMs - job.WithinMs
	if lateMs <= 0 {
		return Verdict{Accept: true, WaitMs: waitMs}
	}
	kind := "within"
	if job.OverShare {
		kind = "over"
	}
	return Verdict{
		WaitMs: waitMs, RetryAfterMs: retryAfterMs(job, queue, lateMs),
		Reason: fmt.Sprintf("%s its customer's share, it would wait %d ms and be late by %d ms", kind, waitMs, lateMs),
	}
}

// retryAfterMs returns when a client should come back: once the queue has become shorter by as much as
// the job would be late, and spread over the time that the customer's share takes for its refused jobs.
func retryAfterMs(job Job, queue Queue, lateMs int) int {
	after := min(max(time.Duration(lateMs)*time.Millisecond, minRetryAfter), maxRetryAfter)
	spread := time.Duration(queue.Refused+1) * time.Second / time.Duration(max(1, queue.Entitled))
	spread = min(max(spread, minRetrySpread), maxRetrySpread)
	offset := time.Duration(xxhash.Sum64String(job.ID) % uint64(spread))
	return int((after + offset).Milliseconds())
}
