package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cellrecord"
	"damsonwinch/pkg/wire"
)

// commits holds what has changed since the last append and what depends on its being recorded.
type commits struct {
	// dirtyJobs holds the IDs of the jobs whose records are out of date.
	dirtyJobs map[string]bool
	// deletedKeys are the keys that the next append deletes from the stream.
	deletedKeys []string
	// endpointRecords are the records about endpoints for the next append.
	endpointRecords []damsonwinch.Record
	// allowancesDirty is set when the record of the allowances is out of date.
	allowancesDirty bool
	// ackEndpoints are the endpoints of which results have been applied since the last append. The
	// results are acknowledged after a commit, even those that change no record, such as results of
	// unknown jobs.
	ackEndpoints []*endpoint
	// starts and replies are sent once the next append is in the stream.
	starts  []*run
	replies []pendingReply
	// queries are answered once the next append is in the stream.
	queries []pendingQuery
	// withdrawals are the endpoints whose withdrawal takes effect once it is recorded.
	withdrawals []*endpoint
	lastNumber  int
	inFlight    *sentCommit
	lastSentAt  time.Time
}

// sentCommit is an append in flight, with what has to be done once it is in the stream.
type sentCommit struct {
	sentAt      time.Time
	number      int
	starts      []*run
	replies     []pendingReply
	queries     []pendingQuery
	withdrawals []*endpoint
	// states holds the state that the append records of each job.
	states map[*job]wire.JobState
	// allocatorToken and allowanceNumber identify the allowances that the append contains.
	allocatorToken  int
	allowanceNumber int
	// acks are the results that may be acknowledged once the append is in the stream.
	acks []endpointAck
}

// endpointAck holds the highest sequence number among the results of an endpoint that may be
// acknowledged once an append is in the stream.
type endpointAck struct {
	endpoint *endpoint
	sequence int
}

// pendingReply is a reply about a job that is sent once the job's present state is in the stream.
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

// deleteRecord has the next append delete a job's record.
func (c *Cell) deleteRecord(j *job) {
	c.commits.deletedKeys = append(c.commits.deletedKeys, j.id)
}

// reply answers a client's call at once, without waiting for an append.
func (c *Cell) reply(callID int, reply wire.JobReply) {
	c.effects.Replies = append(c.effects.Replies, Reply{CallID: callID, Reply: reply})
}

// replyOnceRecorded answers a call once the present state of the job is in the stream.
func (c *Cell) replyOnceRecorded(j *job, callID int, reply wire.JobReply) {
	pending := pendingReply{Reply: Reply{CallID: callID, Reply: reply}, job: j}
	switch {
	case c.commits.dirtyJobs[j.id]:
		c.commits.replies = append(c.commits.replies, pending)
	case c.commits.inFlight != nil && j.recordedState != j.state, c.commits.inFlight != nil && !j.recorded:
		c.commits.inFlight.replies = append(c.commits.inFlight.replies, pending)
	default:
		c.reply(callID, reply)
	}
}

// dropWithdrawal makes the appends that hold a withdrawal of the endpoint confirm nothing. A later withdrawal is
// confirmed by its own record.
func (w *commits) dropWithdrawal(e *endpoint) {
	isDropped := func(other *endpoint) bool { return other == e }
	w.withdrawals = slices.DeleteFunc(w.withdrawals, isDropped)
	if w.inFlight != nil {
		w.inFlight.withdrawals = slices.DeleteFunc(w.inFlight.withdrawals, isDropped)
	}
}

// hasUnrecordedChanges reports whether anything has changed that the next append has to record or
// confirm.
func (c *Cell) hasUnrecordedChanges() bool {
	w := &c.commits
	return len(w.dirtyJobs) > 0 || len(w.deletedKeys) > 0 || len(w.queries) > 0 || len(w.endpointRecords) > 0 || len(w.ackEndpoints) > 0 || w.allowancesDirty || c.addresses.book.HasChanged()
}

// flush begins the next append, unless there is nothing to append, an append is in flight, or the
// last one began less than MinCommitInterval ago.
func (c *Cell) flush() {
	w := &c.commits
	if w.inFlight != nil || !c.hasUnrecordedChanges() || c.now.Sub(w.lastSentAt) < c.options.MinCommitInterval {
		return
	}
	w.lastNumber++
	w.lastSentAt = c.now
	sent := &sentCommit{number: w.lastNumber, sentAt: c.now, starts: w.starts, replies: w.replies, queries: w.queries, withdrawals: w.withdrawals, states: map[*job]wire.JobState{}}
	records := c.buildRecords(sent)
	for _, e := range w.ackEndpoints {
		sent.acks = append(sent.acks, endpointAck{endpoint: e, sequence: e.appliedSequence})
	}
	clear(w.dirtyJobs)
	w.deletedKeys, w.endpointRecords, w.ackEndpoints, w.starts, w.replies, w.queries, w.withdrawals, w.allowancesDirty = nil, nil, nil, nil, nil, nil, nil, false
	w.inFlight = sent
	c.stats.Commits++
	if len(records) == 0 {
		c.finishCommit(sent)
		return
	}
	c.effects.Commit = &Commit{Number: sent.number, Records: records}
}

// buildRecords returns records for everything that is out of date in the stream. It notes in sent
// which job states and allowances they contain.
func (c *Cell) buildRecords(sent *sentCommit) []damsonwinch.Record {
	w := &c.commits
	records := append(w.endpointRecords, c.workloadRecords()...)
	// A job counts only together with the entry of its address, so that is recorded before it.
	records = append(records, c.addressRecords()...)
	if w.allowancesDirty {
		records = append(records, c.allowancesRecord(sent))
	}
	// A job that has been submitted again since it was forgotten is recorded after the deletion.
	for _, key := range w.deletedKeys {
		records = append(records, damsonwinch.Record{Key: key})
	}
	for _, id := range slices.Sorted(maps.Keys(w.dirtyJobs)) {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		records = append(records, c.jobRecords(j)...)
		sent.states[j] = j.state
	}
	if len(sent.queries) > 0 && len(records) == 0 {
		records = append(records, cellrecord.Confirmation())
	}
	return records
}

// Committed handles the success of the append with the given number: its records are in the stream.
func (c *Cell) Committed(now time.Time, number int) {
	c.beginEvent(now)
	defer c.finishEvent()
	sent := c.commits.inFlight
	if sent == nil || sent.number != number {
		return
	}
	c.ConfirmOwnership(sent.sentAt)
	c.logLateStarts(sent)
	c.finishCommit(sent)
}

// lateAppendAge is the age of an append from which its starts are logged as late.
const lateAppendAge = 250 * time.Millisecond

// logLateStarts logs that starts have waited long for their record. Another owner may have made other decisions meanwhile.
func (c *Cell) logLateStarts(sent *sentCommit) {
	age := c.now.Sub(sent.sentAt)
	if age <= lateAppendAge {
		return
	}
	for _, r := range sent.starts {
		c.logRun("start recorded late", r, fmt.Sprintf("decided %d ms ago", age.Milliseconds()))
	}
}

// finishCommit does what had to wait for the append: it sends starts and replies, makes withdrawals
// effective, and allows results to be acknowledged.
func (c *Cell) finishCommit(sent *sentCommit) {
	c.commits.inFlight = nil
	for j, state := range sent.states {
		j.recorded, j.recordedState = true, state
	}
	for _, ack := range sent.acks {
		ack.endpoint.recordedSequence = max(ack.endpoint.recordedSequence, ack.sequence)
		c.schedulePoll(ack.endpoint)
	}
	for _, e := range sent.withdrawals {
		e.withdrawal.recorded = true
	}
	c.quota.MarkRecorded(sent.allocatorToken, sent.allowanceNumber)
	for _, r := range sent.starts {
		c.sendStart(r)
	}
	for _, pending := range sent.replies {
		c.effects.Replies = append(c.effects.Replies, pending.Reply)
	}
	for _, query := range sent.queries {
		c.reply(query.callID, query.answer())
	}
}

// NextTick returns when Tick should be called next, whatever other events occur before that.
func (c *Cell) NextTick() time.Time {
	next := c.lastTickAt.Add(idleTickInterval)
	if len(c.activeJobs) > 0 {
		next = c.lastTickAt.Add(busyTickInterval)
	}
	if !c.callsDueAt.IsZero() && c.callsDueAt.Before(next) {
		next = c.callsDueAt
	}
	if c.commits.inFlight == nil && c.hasUnrecordedChanges() {
		if due := c.commits.lastSentAt.Add(c.options.MinCommitInterval); due.Before(next) {
			return due
		}
	}
	return next
}

// Intervals between ticks while there are active jobs and while there are none. They are the
// resolution of retries and lease expiry.
const (
	busyTickInterval = 50 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
)
