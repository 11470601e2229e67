// Package liveness decides from what a node has seen of another node whether that node is still
// alive. It does no I/O and reads no clock: requests, replies and stream reads go in with their
// times, a decision comes out.
//
// A node that leaves requests unanswered may be gone, or may be overloaded: its link is full, or
// other processes take its CPU. Taking over the cells of an overloaded node makes more work where
// there was too much already. The new owner reads all records through a link that is then full as
// well, and is taken for lost in its turn. So missing replies alone don't count: the store must
// show no work of the node either, which two reads of its streams tell. Phi-accrual failure
// detectors and Lifeguard weigh evidence of one kind by its usual delay; here a second kind is
// available for two calls.
package liveness

import "time"

// Times and numbers that decide when a node is lost.
const (
	// replyTimeout is how long all requests must have been unanswered. Each 0.1 s more delays all
	// jobs of a lost owner's cells by as much; a lost packet is sent again after 0.2 s.
	replyTimeout = 350 * time.Millisecond
	// newOwnerReplyTimeout is the same for an owner whose claim is younger than newOwnerAge: it is
	// busy reading the cell. 396 records took 1.2 s through a link of 2 Mbit/s.
	newOwnerReplyTimeout = 1500 * time.Millisecond
	newOwnerAge          = 3 * time.Second
	// minRequests is the least number of unanswered requests, and maxRequestGap the longest time
	// between two of them: a node that was suspended itself knows nothing of others.
	minRequests   = 3
	maxRequestGap = 250 * time.Millisecond
	// firstReadAfter is the time without replies after which the streams are read for the first
	// time, and minReadGap the least time until the second read: an owner with work appends every
	// 30 to 50 ms, and takes longer where the store is slow to reply. readGapFactor is how many
	// times as long as the first read took there must be between the two.
	firstReadAfter = 150 * time.Millisecond
	minReadGap     = 150 * time.Millisecond
	readGapFactor  = 4
)

// Evidence is what is known of one incarnation of a node.
type Evidence struct {
	lastRequestAt time.Time
	// unanswered counts the requests since the newest one that was answered, and unansweredSince is
	// the time of the first of them.
	unanswered      int
	unansweredSince time.Time
	// firstReadAt is when the streams were first read in this time without replies, and firstEnds
	// the sum of their ends then. A read at least readGap later that shows the same sum sets
	// noProgress.
	firstReadAt time.Time
	firstEnds   int
	readGap     time.Duration
	noProgress  bool
}

// LastRequestAt returns the time of the newest request.
func (e Evidence) LastRequestAt() time.Time {
	return e.lastRequestAt
}

// WithRequest returns the evidence after a request.
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

// WithReply returns the evidence after the reply to a request that was sent at a time. It changes
// nothing if the request is older than those that count as unanswered.
func (e Evidence) WithReply(requestAt time.Time) Evidence {
	if e.unansweredSince.After(requestAt) {
		return e
	}
	return Evidence{lastRequestAt: e.lastRequestAt}
}

// StreamReadDue reports whether the node's streams should be read now.
func (e Evidence) StreamReadDue(now time.Time) bool {
	if e.unanswered == 0 || now.Sub(e.unansweredSince) < firstReadAfter || e.noProgress {
		return false
	}
	return e.firstReadAt.IsZero() || now.Sub(e.firstReadAt) >= e.readGap
}

// WithStreamRead returns the evidence after a read of the node's streams that was started at a
// time, took a while and showed the sum of the streams' ends. If the streams have grown, the node
// is slow but not gone, and its time without replies starts anew.
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

// ShowsProgressSince reports whether the newest read has shown work that the evidence before the
// read didn't.
func (e Evidence) ShowsProgressSince(before Evidence) bool {
	return before.unanswered > 0 && !before.firstReadAt.IsZero() && e.firstReadAt.IsZero()
}

// IsLost reports whether the node is taken for lost. claimAge is the age of its newest claim of a
// cell.
func (e Evidence) IsLost(now time.Time, claimAge time.Duration) bool {
	timeout := replyTimeout
	if claimAge < newOwnerAge {
		timeout = newOwnerReplyTimeout
	}
	return e.unanswered >= minRequests && now.Sub(e.unansweredSince) >= timeout && e.noProgress
}
