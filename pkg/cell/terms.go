package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/addressbook"
	"damsonwinch/pkg/wire"
)

// QueueTable holds the queues of a configuration by their names and addresses. It is immutable, so that all cells of a node
// can share it. The zero value holds none.
type QueueTable struct {
	// version is that of the configuration, or 0 before the first one.
	version   int
	byName    map[string]*damsonwinch.Queue
	byAddress map[string]*damsonwinch.Queue
}

// NewQueueTable returns the table of the queues of a configuration, which must not change any more.
func NewQueueTable(version int, queues []damsonwinch.Queue) *QueueTable {
	table := &QueueTable{version: version, byName: make(map[string]*damsonwinch.Queue, len(queues)), byAddress: make(map[string]*damsonwinch.Queue, len(queues))}
	for at := range queues {
		queue := &queues[at]
		table.byName[queue.Name] = queue
		table.byAddress[queue.Address()] = queue
	}
	return table
}

// queueOf returns the queue that the configuration in force has for a job: the one at the job's address, whatever its name
// is now. If the job's address or its terms aren't known, that may be the queue of its name. It is nil if there is none.
func (c *Cell) queueOf(j *job) *damsonwinch.Queue {
	queue := c.queues.byAddress[addressbook.Base(j.address)]
	if queue == nil && (j.address == "" || j.acceptedTerms.version == 0) {
		queue = c.queues.byName[j.queue]
	}
	return queue
}

// terms are the rules of a queue that bind its jobs after they were accepted.
type terms struct {
	// version is the configuration that has the rules. It is 0 if they aren't known: an earlier version of this program has
	// accepted the job and recorded no more than maxAttempts.
	version int
	// maxAttempts is the number of failed attempts at a task with which its job fails.
	maxAttempts int
	// advice is nil if the tasks need no permits, as far as is known.
	advice *damsonwinch.AdviceTimes
}

// newTerms returns the rules of a queue in a version of the configuration.
func newTerms(version int, queue *damsonwinch.Queue) terms {
	return terms{version: version, maxAttempts: queue.MaxAttempts, advice: queue.Advice}
}

// setAcceptedQueue gives a job that is accepted the terms of its queue: those of the configuration in force or, if that is
// older than the calling node's or doesn't have the queue, those that came with the call. It returns the queue, which is
// empty if an earlier version of the program has called and the queue isn't known here.
func (c *Cell) setAcceptedQueue(j *job, args wire.JobArgs) damsonwinch.Queue {
	version, queue := c.queues.version, c.queues.byAddress[addressbook.Base(j.address)]
	switch {
	case args.Terms != nil && (queue == nil || version < args.ConfigVersion):
		told := damsonwinch.Queue{Name: j.queue}.WithTerms(*args.Terms)
		version, queue = args.ConfigVersion, &told
	case queue == nil:
		queue = c.queues.byName[j.queue]
	}
	if queue == nil {
		c.updateTerms(j)
		return damsonwinch.Queue{}
	}
	j.priority, j.acceptedTerms = queue.Priority, newTerms(version, queue)
	c.updateTerms(j)
	return *queue
}

// SetQueues sets the queues of the configuration in force.
func (c *Cell) SetQueues(now time.Time, queues *QueueTable) {
	c.beginEvent(now)
	c.queues = queues
	for _, j := range c.activeJobs {
		c.updateTerms(j)
	}
	c.placementDue = true
}

// updateTerms sets the terms that are in force for a job: those of its queue in the configuration, or those under which
// the job was accepted if the queue was removed, or if the configuration is older than these.
func (c *Cell) updateTerms(j *job) {
	j.terms = j.acceptedTerms
	queue := c.queueOf(j)
	if queue == nil || c.queues.version < j.acceptedTerms.version {
		return
	}
	j.terms = newTerms(c.queues.version, queue)
	if j.terms.maxAttempts == 0 {
		j.terms.maxAttempts = j.acceptedTerms.maxAttempts
	}
}

// encodeTerms returns the terms under which a job was accepted, as they are recorded, or nil if they aren't known.
func (j *job) encodeTerms() *wire.JobTerms {
	if j.acceptedTerms.version == 0 {
		return nil
	}
	return &wire.JobTerms{ConfigVersion: j.acceptedTerms.version, Advice: j.acceptedTerms.advice.Terms()}
}

// decodeTerms returns the terms under which a recorded job was accepted.
func decodeTerms(accepted wire.AcceptedJob) terms {
	decoded := terms{maxAttempts: accepted.MostAttempts}
	if accepted.Terms == nil {
		return decoded
	}
	decoded.version, decoded.advice = accepted.Terms.ConfigVersion, damsonwinch.AdviceTimesOf(accepted.Terms.Advice)
	return decoded
}
