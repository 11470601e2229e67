// Package liveness judges by what a node has seen of another's life whether that life goes
// on. It is pure: what was asked, answered and read goes in with its time, a verdict comes
// out.
//
// A node that leaves questions unanswered may have ended, or may be out of something: its
// link is full, or others take its processor. Taking the cells of the second kind makes
// more work where there was too much already; the new owner reads all records through a
// link that is then full as well, and is taken for dead in its turn. So silence alone
// counts only where the store shows no work of the silent node either: two readings of its
// streams tell (phi-accrual and Lifeguard weigh evidence of one kind by its usual delay;
// here a second kind is to be had for two calls).
package liveness

import "time"

// Times of the judgement.
const (
	// patience is how long all questions must have been unanswered. Each 0.1 s more costs
	// all jobs of a lost owner's cells so much; a packet that is lost comes again after 0.2 s.
	patience = 350 * time.Millisecond
	// youngPatience is the same for an owner whose claim is younger than youngTime: it is
	// busy with reading the cell. 396 records took 1.2 s through a link of 2 Mbit/s.
	youngPatience = 1500 * time.Millisecond
	youngTime     = 3 * time.Second
	// questions is how many unanswered questions that takes at least, and mostGap the longest
	// time between two of them: a node that stood still itself knows nothing of others.
	questions = 3
	mostGap   = 250 * time.Millisecond
	// readAfter is the silence after which the streams are read for the first time, and
	// readGap the least time until the second reading: an owner with work appends each 30
	// to 50 ms, and needs some more for each answer of a slow store. readTimes is how many
	// times as long as a reading takes must lie between two.
	readAfter = 150 * time.Millisecond
	readGap   = 150 * time.Millisecond
	readTimes = 4
)

// Evidence is what is known of one life of a node.
type Evidence struct {
	askedAt time.Time
	// unanswered counts the questions since the newest that was answered, and
	// unansweredSince is when the first of them was asked.
	unanswered      int
	unansweredSince time.Time
	// readAt is when the streams were first read in this silence, and ends their ends then.
	// A reading as much as gap later that shows the same ends makes them still.
	readAt time.Time
	ends   int
	gap    time.Duration
	still  bool
}

// LastRequestAt returns when the newest question was asked.
func (e Evidence) LastRequestAt() time.Time {
	return e.askedAt
}

// WithRequest returns the evidence after a question.
func (e Evidence) WithRequest(now time.Time) Evidence {
	if now.Sub(e.askedAt) > mostGap {
		// It has not been watched of late, or this node stood still itself.
		e = Evidence{}
	}
	if e.unanswered == 0 {
		e = Evidence{unansweredSince: now}
	}
	e.askedAt = now
	e.unanswered++
	return e
}

// WithReply returns the evidence after the answer to a question.
func (e Evidence) WithReply(askedAt time.Time) Evidence {
	if e.unansweredSince.After(askedAt) {
		return e
	}
	return Evidence{askedAt: e.askedAt}
}

// StreamReadDue says whether the node's streams are to be read now.
func (e Evidence) StreamReadDue(now time.Time) bool {
	if e.unanswered == 0 || now.Sub(e.unansweredSince) < readAfter || e.still {
		return false
	}
	return e.readAt.IsZero() || now.Sub(e.readAt) >= e.gap
}

// WithStreamRead returns the evidence after a reading of the node's streams, which was asked
// for at a time, took a while and showed the sum of their ends. Where they have grown, the
// node is slow and not gone, and its silence counts anew.
func (e Evidence) WithStreamRead(askedAt time.Time, took time.Duration, ends int) Evidence {
	switch {
	case e.unanswered == 0 || askedAt.Before(e.unansweredSince):
	case e.readAt.IsZero():
		e.readAt, e.ends, e.gap = askedAt, ends, max(readGap, readTimes*took)
	case ends != e.ends:
		return Evidence{askedAt: e.askedAt, unanswered: 1, unansweredSince: askedAt}
	case askedAt.Sub(e.readAt) >= e.gap:
		e.still = true
	}
	return e
}

// ShowsProgressSince says whether the newest reading has shown work that the evidence before it didn't.
func (e Evidence) ShowsProgressSince(before Evidence) bool {
	return before.unanswered > 0 && !before.readAt.IsZero() && e.readAt.IsZero()
}

// IsLost says whether the node is to be taken for lost, with a claim of an age.
func (e Evidence) IsLost(now time.Time, claimAge time.Duration) bool {
	wait := patience
	if claimAge < youngTime {
		wait = youngPatience
	}
	return e.unanswered >= questions && now.Sub(e.unansweredSince) >= wait && e.still
}
