package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// commits holds what waits for the stream.
type commits struct {
	dirtyJobs map[string]bool
	// deletedKeys are keys that the stream is to forget.
	deletedKeys []string
	// endpointRecords are records about endpoints.
	endpointRecords []damsonwinch.Record
	// allowancesDirty says that the record of the allowancesDirty is out of date.
	allowancesDirty bool
	// ackEndpoints says that ackEndpoints were taken in that no record may mention, such as those
	// of jobs that nobody knows; they too are forgotten only after a commit.
	ackEndpoints []*endpoint
	starts       []*run
	replies      []pendingReply
	// withdrawals are endpoints whose withdrawal counts once it is recorded.
	withdrawals []*endpoint
	lastNumber  int
	inFlight    *sentCommit
	lastSentAt  time.Time
}

// sentCommit is the append on its way.
type sentCommit struct {
	sentAt      time.Time
	number      int
	starts      []*run
	replies     []pendingReply
	withdrawals []*endpoint
	states      map[*job]wire.JobState
	// allocatorToken and allowances tell which word on allowances it holds.
	allocatorToken  int
	allowanceNumber int
	acks            []endpointAck
}

// endpointAck is the highest end of an endpoint that an append holds.
type endpointAck struct {
	endpoint *endpoint
	number   int
}

// pendingReply answers a call on a job once the stream holds the job as it is.
type pendingReply struct {
	Reply
	job *job
}

func newCommits() commits {
	return commits{dirtyJobs: map[string]bool{}}
}

// markDirty notes that a job's record is out of date.
func (c *Cell) markDirty(j *job) {
	c.commits.dirtyJobs[j.id] = true
}

// deleteRecord makes the stream forget a job.
func (c *Cell) deleteRecord(j *job) {
	c.commits.deletedKeys = append(c.commits.deletedKeys, j.id)
}

func (c *Cell) reply(ticket int, reply wire.JobReply) {
	c.effects.Replies = append(c.effects.Replies, Reply{CallID: ticket, Reply: reply})
}

// replyOnceRecorded answers a call once the stream holds the job as it is now.
func (c *Cell) replyOnceRecorded(j *job, ticket int, reply wire.JobReply) {
	waiting := pendingReply{Reply: Reply{CallID: ticket, Reply: reply}, job: j}
	switch {
	case c.commits.dirtyJobs[j.id]:
		c.commits.replies = append(c.commits.replies, waiting)
	case c.commits.inFlight != nil && j.recordedState != j.state, c.commits.inFlight != nil && !j.recorded:
		c.commits.inFlight.replies = append(c.commits.inFlight.replies, waiting)
	default:
		c.reply(ticket, reply)
	}
}

// hasUnrecordedChanges says whether anything waits for the stream.
func (c *Cell) hasUnrecordedChanges() bool {
	w := &c.commits
	return len(w.dirtyJobs) > 0 || len(w.deletedKeys) > 0 || len(w.endpointRecords) > 0 || len(w.ackEndpoints) > 0 || w.allowancesDirty
}

// flush begins the next append, unless one is on its way or the last was just now.
func (c *Cell) flush() {
	w := &c.commits
	if w.inFlight != nil || !c.hasUnrecordedChanges() || c.now.Sub(w.lastSentAt) < c.options.MinCommitInterval {
		return
	}
	w.lastNumber++
	w.lastSentAt = c.now
	sent := &sentCommit{number: w.lastNumber, sentAt: c.now, starts: w.starts, replies: w.replies, withdrawals: w.withdrawals, states: map[*job]wire.JobState{}}
	records := c.buildRecords(sent)
	for _, e := range w.ackEndpoints {
		sent.acks = append(sent.acks, endpointAck{endpoint: e, number: e.appliedSequence})
	}
	clear(w.dirtyJobs)
	w.deletedKeys, w.endpointRecords, w.ackEndpoints, w.starts, w.replies, w.withdrawals, w.allowancesDirty = nil, nil, nil, nil, nil, nil, false
	w.inFlight = sent
	c.stats.Commits++
	if len(records) == 0 {
		c.finishCommit(sent)
		return
	}
	c.effects.Commit = &Commit{Number: sent.number, Records: records}
}

// buildRecords returns the records of all that is out of date in the stream.
func (c *Cell) buildRecords(sent *sentCommit) []damsonwinch.Record {
	w := &c.commits
	records := append(w.endpointRecords, c.queueStatsRecords()...)
	if w.allowancesDirty {
		records = append(records, c.allowancesRecord(sent))
	}
	ids := make([]string, 0, len(w.dirtyJobs))
	for id := range w.dirtyJobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		sent.states[j] = j.state
		records = append(records, c.jobRecords(j)...)
	}
	for _, key := range w.deletedKeys {
		records = append(records, damsonwinch.Record{Key: key})
	}
	return records
}

// Committed takes note that the stream holds an append.
func (c *Cell) Committed(now time.Time, number int) {
	c.beginEvent(now)
	defer c.finishEvent()
	sent := c.commits.inFlight
	if sent == nil || sent.number != number {
		return
	}
	c.ConfirmOwnership(sent.sentAt)
	if now.Sub(sent.sentAt) > maxStartAge {
		// This owner stood still, or the store did: another one may have come since.
		for _, r := range sent.starts {
			r.stopping = true
		}
	}
	c.finishCommit(sent)
}

// maxStartAge is the age of a commit at which its starts are not ordered any more
// but decided anew. An owner that was paused for long must not order what it
// decided before.
const maxStartAge = 2 * time.Second

// finishCommit does what waited for an append.
func (c *Cell) finishCommit(sent *sentCommit) {
	c.commits.inFlight = nil
	for j, state := range sent.states {
		j.recorded, j.recordedState = true, state
	}
	for _, seen := range sent.acks {
		seen.endpoint.recordedSequence = max(seen.endpoint.recordedSequence, seen.number)
		c.schedulePoll(seen.endpoint)
	}
	for _, e := range sent.withdrawals {
		e.withdrawal.recorded = true
	}
	c.quota.MarkRecorded(sent.allocatorToken, sent.allowanceNumber)
	for _, r := range sent.starts {
		c.sendStart(r)
	}
	for _, waiting := range sent.replies {
		c.effects.Replies = append(c.effects.Replies, waiting.Reply)
	}
}

// NextTick returns when Tick should be called next, however much else happens until then.
func (c *Cell) NextTick() time.Time {
	wake := c.lastTickAt.Add(idleTickInterval)
	if len(c.activeJobs) > 0 {
		wake = c.lastTickAt.Add(busyTickInterval)
	}
	if c.commits.inFlight == nil && c.hasUnrecordedChanges() {
		if due := c.commits.lastSentAt.Add(c.options.MinCommitInterval); due.Before(wake) {
			return due
		}
	}
	return wake
}

// Times between ticks: retries and leases are looked after at this grain.
const (
	busyTickInterval = 50 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
)
