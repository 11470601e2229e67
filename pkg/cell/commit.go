package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// commits holds what waits for the stream.
type commits struct {
	dirty map[string]bool
	// dropped are keys that the stream is to forget.
	dropped []string
	// marks are records about endpoints.
	marks []damsonwinch.Record
	// allowances says that the record of the allowances is out of date.
	allowances bool
	// ends says that ends were taken in that no record may mention, such as those
	// of jobs that nobody knows; they too are forgotten only after a commit.
	ends    []*endpoint
	starts  []*run
	replies []waitingReply
	// withdrawn are endpoints whose withdrawal counts once it is recorded.
	withdrawn []*endpoint
	number    int
	sent      *sentCommit
	startAt   time.Time
}

// sentCommit is the append on its way.
type sentCommit struct {
	at        time.Time
	number    int
	starts    []*run
	replies   []waitingReply
	withdrawn []*endpoint
	shown     map[*job]wire.JobState
	// allotter and allowances tell which word on allowances it holds.
	allotter   int
	allowances int
	seen       []seenEnds
}

// seenEnds is the highest end of an endpoint that an append holds.
type seenEnds struct {
	at     *endpoint
	number int
}

// waitingReply answers a call on a job once the stream holds the job as it is.
type waitingReply struct {
	Reply
	job *job
}

func newCommits() commits {
	return commits{dirty: map[string]bool{}}
}

// touch notes that a job's record is out of date.
func (c *Cell) touch(j *job) {
	c.commits.dirty[j.id] = true
}

// drop makes the stream forget a job.
func (c *Cell) drop(j *job) {
	c.commits.dropped = append(c.commits.dropped, j.id)
}

func (c *Cell) reply(ticket int, reply wire.JobReply) {
	c.effects.Replies = append(c.effects.Replies, Reply{CallID: ticket, Reply: reply})
}

// replyRecorded answers a call once the stream holds the job as it is now.
func (c *Cell) replyRecorded(j *job, ticket int, reply wire.JobReply) {
	waiting := waitingReply{Reply: Reply{CallID: ticket, Reply: reply}, job: j}
	switch {
	case c.commits.dirty[j.id]:
		c.commits.replies = append(c.commits.replies, waiting)
	case c.commits.sent != nil && j.shown != j.state, c.commits.sent != nil && !j.recorded:
		c.commits.sent.replies = append(c.commits.sent.replies, waiting)
	default:
		c.reply(ticket, reply)
	}
}

// pendingCommit says whether anything waits for the stream.
func (c *Cell) pendingCommit() bool {
	w := &c.commits
	return len(w.dirty) > 0 || len(w.dropped) > 0 || len(w.marks) > 0 || len(w.ends) > 0 || w.allowances
}

// flush begins the next append, unless one is on its way or the last was just now.
func (c *Cell) flush() {
	w := &c.commits
	if w.sent != nil || !c.pendingCommit() || c.now.Sub(w.startAt) < c.options.MinCommitInterval {
		return
	}
	w.number++
	w.startAt = c.now
	sent := &sentCommit{number: w.number, at: c.now, starts: w.starts, replies: w.replies, withdrawn: w.withdrawn, shown: map[*job]wire.JobState{}}
	records := c.compose(sent)
	for _, e := range w.ends {
		sent.seen = append(sent.seen, seenEnds{at: e, number: e.appliedSequence})
	}
	clear(w.dirty)
	w.dropped, w.marks, w.ends, w.starts, w.replies, w.withdrawn, w.allowances = nil, nil, nil, nil, nil, nil, false
	w.sent = sent
	c.stats.Commits++
	if len(records) == 0 {
		c.finish(sent)
		return
	}
	c.effects.Commit = &Commit{Number: sent.number, Records: records}
}

// compose returns the records of all that is out of date in the stream.
func (c *Cell) compose(sent *sentCommit) []damsonwinch.Record {
	w := &c.commits
	records := append(w.marks, c.learnedRecords()...)
	if w.allowances {
		records = append(records, c.allowancesRecord(sent))
	}
	ids := make([]string, 0, len(w.dirty))
	for id := range w.dirty {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		sent.shown[j] = j.state
		records = append(records, c.jobRecords(j)...)
	}
	for _, key := range w.dropped {
		records = append(records, damsonwinch.Record{Key: key})
	}
	return records
}

// Committed takes note that the stream holds an append.
func (c *Cell) Committed(now time.Time, number int) {
	c.begin(now)
	defer c.settle()
	sent := c.commits.sent
	if sent == nil || sent.number != number {
		return
	}
	c.ConfirmOwnership(sent.at)
	if now.Sub(sent.at) > startStale {
		// This owner stood still, or the store did: another one may have come since.
		for _, r := range sent.starts {
			r.stopping = true
		}
	}
	c.finish(sent)
}

// startStale is the age of a commit at which its starts are not ordered any more
// but decided anew. An owner that was paused for long must not order what it
// decided before.
const startStale = 2 * time.Second

// finish does what waited for an append.
func (c *Cell) finish(sent *sentCommit) {
	c.commits.sent = nil
	for j, state := range sent.shown {
		j.recorded, j.shown = true, state
	}
	for _, seen := range sent.seen {
		seen.at.recordedSequence = max(seen.at.recordedSequence, seen.number)
		c.schedulePoll(seen.at)
	}
	for _, e := range sent.withdrawn {
		e.withdrawal.recorded = true
	}
	c.quota.MarkRecorded(sent.allotter, sent.allowances)
	for _, r := range sent.starts {
		c.sendStart(r)
	}
	for _, waiting := range sent.replies {
		c.effects.Replies = append(c.effects.Replies, waiting.Reply)
	}
}

// NextTick returns when Tick should be called next, however much else happens until then.
func (c *Cell) NextTick() time.Time {
	wake := c.tickedAt.Add(idleTick)
	if len(c.order) > 0 {
		wake = c.tickedAt.Add(busyTick)
	}
	if c.commits.sent == nil && c.pendingCommit() {
		if due := c.commits.startAt.Add(c.options.MinCommitInterval); due.Before(wake) {
			return due
		}
	}
	return wake
}

// Times between ticks: retries and leases are looked after at this grain.
const (
	busyTick = 50 * time.Millisecond
	idleTick = 250 * time.Millisecond
)
