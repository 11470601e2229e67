package cell

import (
	"fmt"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Effects are what the owner has to do after an event.
type Effects struct {
	// Commit is the next append, nil for none. Committed or Close follows.
	Commit *Commit
	Starts []Start
	Stops  []Stop
	Paces  []SpeedChange
	// PermitRequests are calls for permits; Advised follows each.
	PermitRequests []PermitRequest
	Polls          []Poll
	// Replies answer clients' calls by the tickets they came with.
	Replies []Reply
	// OwnershipLost says that a newer owner has been at an endpoint, or may have come unnoticed: no
	// order is to be given any more.
	OwnershipLost bool
	// ListBoxes asks for the platform's list of boxes: an endpoint is silent.
	ListBoxes bool
	// LogLines are decisions and changes of belief for the log.
	LogLines []LogLine
}

// Commit is what is to be appended to the cell's stream next.
type Commit struct {
	Number  int
	Records []damsonwinch.Record
}

// Start is an order to an endpoint.
type Start struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.StartRequest
}

// Stop is an order to an endpoint.
type Stop struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.StopRequest
}

// Poll is a question to an endpoint.
type Poll struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.PollRequest
	Number   int
}

// Reply answers a client's call.
type Reply struct {
	CallID int
	Reply  wire.JobReply
}

// LogLine is a decision or a change of belief, for the log.
type LogLine struct {
	Message  string
	Queue    string
	Customer string
	Job      string
	Task     string
	Endpoint string
	Reason   string
	// Debug marks what happens for each task, of which the log has room for less.
	Debug bool
}

// Stats counts what a cell has done.
type Stats struct {
	JobsAccepted  int
	JobsCompleted int
	JobsFailed    int
	JobsCancelled int
	// JobsRefused counts jobs that the store could not be given in time.
	JobsRefused   int
	Starts        int
	Reruns        int
	StartsRefused int
	Commits       int
	Polls         int
	RunsLapsed    int
	Ejections     int
	// EndpointsLost counts lives that ended while tasks may have run there, and RunsLost
	// those tasks.
	EndpointsLost int
	RunsLost      int
	// QuotaWaits counts how often a customer has come to wait for its allowance.
	QuotaWaits int
	// JobsGivenUp counts jobs that were given up since a task crashes its endpoints.
	JobsGivenUp int
}

// Stats returns the counters.
func (c *Cell) Stats() Stats {
	return c.stats
}

func (c *Cell) logRun(what string, r *run, why string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: what, Job: r.task.phase.round.job.id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Reason: why,
	})
}

// logStart notes that an attempt is ordered, and what decided where.
func (c *Cell) logStart(r *run) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "start", Job: r.task.phase.round.job.id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Debug: true,
		Reason: fmt.Sprintf("attempt %d, waited %d ms, %d thousandths of a core of %d in use there", r.attempt,
			c.now.Sub(r.startedAt).Milliseconds(), r.endpoint.used.MilliCPU, r.endpoint.info.Capacity.MilliCPU),
	})
}

func (c *Cell) logJob(what string, j *job, why string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: what, Job: j.id, Reason: why})
}

func (c *Cell) logCustomer(what, customer, why string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: what, Customer: customer, Reason: why})
}

func (c *Cell) logQueue(what, queue, why string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: what, Queue: queue, Reason: why})
}

func (c *Cell) logEndpoint(what string, e *endpoint, why string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: what, Endpoint: e.info.Life.String(), Reason: why})
}
