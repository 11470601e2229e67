// Package liveness decides whether another node is still alive, by what this node has observed of it.
// It does no I/O and reads no clock: the caller passes in requests, replies and stream reads with
// their times.
//
// A node that leaves requests unanswered may be gone, or may be overloaded: its link is full, or
// other processes take its CPU. Taking over the cells of an overloaded node makes more work where
// there was too much already. The new owner reads all records through a link that is then full as
// well, and is taken for lost in its turn. So missing replies alone aren't enough. The store must
// show no progress of the node either, which takes two reads of its streams. Phi-accrual failure
// detectors and Lifeguard weigh evidence of one kind by its usual delay; here evidence of a second
// kind costs only two calls.
package liveness

import "time"

// Times and numbers that decide when a node is lost.
const (
	// replyTimeout is the time for which all requests must have been unanswered. Each 0.1 s more
	// delays all jobs of a lost owner's cells by 0.1 s, but a lost packet is sent again only after
	// 0.2 s.
	replyTimeout = 350 * time.Millisecond
	// newOwnerReplyTimeout is the same for an owner whose newest claim of a cell is younger than
	// newOwnerAge: it is busy reading the cell. 396 records took 1.2 s through a link of 2 Mbit/s.
	newOwnerReplyTimeout = 1500 * time.Millisecond
	newOwnerAge          = 3 * time.Second
	// minRequests is the least number of requests that must be unanswered, and maxRequestGap the
	// longest time between two of them. After a longer gap the count starts anew, since the watching
	// node itself may have been suspended.
	minRequests   = 3
	maxRequestGap = 250 * time.Millisecond
	// firstReadAfter is the time without replies after which the streams are read for the first
	// time, and minReadGap the least time until the second read: an owner with work appends every
	// 30 to 50 ms, and takes longer where the store is slow to reply. Therefore the second read also
	// comes no sooner than readGapFactor times the duration of the first one.
	firstReadAfter = 150 * time.Millisecond
	minReadGap     = 150 * time.Millisecond
	readGapFactor  = 4
)

// Evidence is what the watching node knows of one incarnation of another node. The zero value is that
// of a node that hasn't been sent a request.
type Evidence struct {
	lastRequestAt time.Time
	// unanswered counts the requests since the newest one that was answered, and unansweredSince is
	// the time of the first of them.
	unanswered      int
	unansweredSince time.Time
	// firstReadAt is when the streams were first read since unansweredSince, zero before that, and
	// firstEnds the sum of their ends then. A read at least readGap later that shows the same sum
	// sets noProgress.
	firstReadAt time.Time
	firstEnds   int
	readGap     time.Duration
	noProgress  bool
}

// LastRequestAt returns the time of the newest request, zero if there was none.
func (e Evidence) LastRequestAt() time.Time {
	return e.lastRequestAt
}

// WithRequest returns the evidence after a request that is sent at now.
func (e Evidence) WithRequest(now time.Time) Evidence {
	if now.Sub(e.lastRequestAt) > maxRequestGap {
		// The node was not watched for a time, or the watching node itself was suspended.
		e = Evidence{}
	}
	if e.unanswered == 0 {
		e = Evidence{unansweredSince: now}
	}
	e.lastRequestAt = now
	e.unanswered++
	return e
}

// WithReply returns the evidence after the reply to the request that was sent at requestAt. A reply to
// a request that is older than those that count as unanswered changes nothing.
func (e Evidence) WithReply(requestAt time.Time) Evidence {
	if e.unansweredSince.After(requestAt) {
		return e
	}
	return Evidence{lastRequestAt: e.lastRequestAt}
}

// AllAnswered reports whether no request is unanswered. Then the node isn't lost.
func (e Evidence) AllAnswered() bool {
	return e.unanswered == 0
}

// StreamReadDue reports whether the node's streams should be read now.
func (e Evidence) StreamReadDue(now time.Time) bool {
	if e.unanswered == 0 || now.Sub(e.unansweredSince) < firstReadAfter || e.noProgress {
		return false
	}
	return e.firstReadAt.IsZero() || now.Sub(e.firstReadAt) >= e.readGap
}

// WithStreamRead returns the evidence after a read of the node's streams. took is the duration of the
// read, and ends the sum of the streams' ends that it has shown. If the streams have grown since the
// first read, the node is slow but not gone, and its time without replies starts anew at startedAt.
func (e Evidence) WithStreamRead(startedAt time.Time, took time.Duration, ends int) Evidence {
	switch {
	case e.unanswered == 0 || startedAt.Before(e.unansweredSince):
	case e.firstReadAt.IsZero():
		e.firstReadAt, e.firstEnds, e.readGap = startedAt, ends, max(minReadGap, readGapFactor*took)
	case ends != e.firstEnds:
		return Evidence{lastRequestAt: e.lastRequestAt, unanswered: 1, unansweredSince: startedAt}
	case startedAt.Sub(e.firstReadAt) >= e.readGap:
		e.noProgress = true
	}
	return e
}

// ShowsProgressSince reports whether the read between two pieces of evidence has shown that the node's
// streams have grown: before is the evidence before WithStreamRead, e the one after it.
func (e Evidence) ShowsProgressSince(before Evidence) bool {
	return before.unanswered > 0 && !before.firstReadAt.IsZero() && e.firstReadAt.IsZero()
}

// IsLost reports whether the node must be taken for lost at now. claimAge is the age of its newest
// claim of a cell.
func (e Evidence) IsLost(now time.Time, claimAge time.Duration) bool {
	timeout := replyTimeout
	if claimAge < newOwnerAge {
		timeout = newOwnerReplyTimeout
	}
	return e.unanswered >= minRequests && now.Sub(e.unansweredSince) >= timeout && e.noProgress
}
