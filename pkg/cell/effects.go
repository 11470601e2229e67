package cell

import (
	"fmt"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Effects holds what the owner has to do after one or more events.
type Effects struct {
	// Commit is the next append to the cell's stream, or nil. The owner calls Committed once the
	// records are there; if the append fails for good, the owner gives up the cell.
	Commit *Commit
	// Starts, Stops, SpeedChanges and Polls are requests to endpoints. The owner passes each reply
	// to Started, Stopped, SpeedSet or Polled.
	Starts       []Start
	Stops        []Stop
	SpeedChanges []SpeedChange
	// PermitTurn asks for the node's turn at the advice service. The owner calls NextPermitRequest once it has it, makes
	// the call, and passes the reply to Advised.
	PermitTurn bool
	Polls      []Poll
	// Replies go to clients. The call ID of each says which call it is the reply to.
	Replies []Reply
	// OwnershipLost is set when an endpoint has seen a newer owner, or when the machine was
	// suspended so that there may be a newer owner. The owner must send no more requests.
	OwnershipLost bool
	// ListBoxes asks for the platform's list of boxes, because an endpoint that may have runs
	// cannot be reached.
	ListBoxes bool
	// LogLines are decisions and observations to log.
	LogLines []LogLine
}

// Commit holds the records to append to the cell's stream next. Number identifies it in Committed.
type Commit struct {
	Number  int
	Records []damsonwinch.Record
}

// Start is a request to an endpoint to run a task. The owner passes the reply to Started.
type Start struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.StartRequest
}

// Stop is a request to an endpoint to stop a run. The owner passes the reply to Stopped.
type Stop struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.StopRequest
}

// Poll is a request to an endpoint for its runs and results. The owner passes the reply to Polled,
// where Number identifies the poll.
type Poll struct {
	Endpoint damsonwinch.Endpoint
	Request  damsonwinch.PollRequest
	Number   int
}

// Reply is sent to a client. CallID is the ID that came with the client's call.
type Reply struct {
	CallID int
	Reply  wire.JobReply
}

// LogLine is a message for the owner's log with the things that it is about. Empty fields are left
// out.
type LogLine struct {
	Message  string
	Queue    string
	Customer string
	Job      string
	Task     string
	Endpoint string
	Zone     string
	Reason   string
	// Debug marks lines that occur for every task. They are logged at debug level, since the log
	// has limited space.
	Debug bool
}

// Stats holds counters of what a cell has done since it was created.
type Stats struct {
	JobsAccepted  int
	JobsCompleted int
	JobsFailed    int
	JobsCancelled int
	// JobsAbsent counts calls that asked for a job that the cell didn't have or didn't show to the client.
	JobsAbsent int
	// LateSubmissions counts submissions that were refused because their jobs had been cancelled before.
	LateSubmissions int
	// JobsRefused counts jobs that could not be recorded in time because the store did not answer.
	JobsRefused int
	Starts      int
	// Reruns counts attempts at tasks that had been attempted before.
	Reruns int
	// StartsRefused counts starts that endpoints refused.
	StartsRefused int
	// TicketsRefused counts those that were refused for their tickets, and TicketsMissing those of them that carried none.
	TicketsRefused int
	TicketsMissing int
	// PermitCalls counts calls to the advice service, and PermitsLate those whose permits were no longer valid for long
	// enough when the reply was handled.
	PermitCalls int
	PermitsLate int
	Commits     int
	Polls       int
	// RunsLapsed counts runs whose leases expired while their endpoints were out of reach.
	RunsLapsed int
	// Removals counts the runs that were removed for other reasons without a result of their endpoints.
	Removals Removals
	// Ejections counts how often an unhealthy endpoint got no new work for a while.
	Ejections int
	// Suspicions counts how often an endpoint got no new work because it left many calls unanswered.
	Suspicions int
	// EndpointsLost counts endpoint lives that exited while tasks may have been running there.
	// RunsLost counts those runs.
	EndpointsLost int
	RunsLost      int
	// FalseExits counts endpoint lives that have answered after a list of boxes showed that they had exited.
	FalseExits int
	// OtherLifeReplies counts replies to polls that came from another life than the polled one. OtherLifeAcks counts those
	// whose polls acknowledged results to that other life.
	OtherLifeReplies int
	OtherLifeAcks    int
	// ResultGaps counts replies to polls that lack results which this owner has not applied.
	ResultGaps int
	// LateDone counts results that say done of runs that had been given up. LateDoneAgain counts those whose tasks were done
	// already: the tasks ran twice.
	LateDone      int
	LateDoneAgain int
	// QuotaWaits counts how often a customer began to wait for its allowance.
	QuotaWaits int
	// JobsOverShare counts jobs that were beyond their customers' shares when they were accepted.
	JobsOverShare int
	// JobsNotAdmitted counts submissions that were refused because the job could not be in time.
	JobsNotAdmitted int
	// TasksGivenUp counts tasks that are not started any more because of the losses of endpoints
	// under them.
	TasksGivenUp int
}

// Stats returns a copy of the cell's counters.
func (c *Cell) Stats() Stats {
	return c.stats
}

// logRun logs a message about a run, with the reason for what happened to it.
func (c *Cell) logRun(message string, r *run, reason string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: message, Job: r.task.phase.round.job.id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Reason: reason,
	})
}

// logStart logs that a start request is sent, how long it has waited for its record, and how much
// CPU is in use on the endpoint.
func (c *Cell) logStart(r *run) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "start", Job: r.task.phase.round.job.id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Debug: true,
		Reason: fmt.Sprintf("attempt %d, waited %d ms, %d of %d thousandths of a core in use there", r.attempt,
			c.now.Sub(r.startedAt).Milliseconds(), r.endpoint.used.MilliCPU, r.endpoint.info.Capacity.MilliCPU),
	})
}

// logJob logs a message about a job, with the reason for what happened to it.
func (c *Cell) logJob(message string, j *job, reason string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: message, Job: j.id, Reason: reason})
}

// logCustomer logs a message about a customer's allowance, with details.
func (c *Cell) logCustomer(message, customer, reason string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: message, Customer: customer, Reason: reason})
}

// logQueue logs a message about a queue, with the reason for what happened to it.
func (c *Cell) logQueue(message, queue, reason string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: message, Queue: queue, Reason: reason})
}

// logEndpoint logs a message about an endpoint, with the reason for what happened to it.
func (c *Cell) logEndpoint(message string, e *endpoint, reason string) {
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: message, Endpoint: e.info.Life.String(), Reason: reason})
}
