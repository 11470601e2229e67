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
	Paces  []Pace
	// Asks are calls for permits; Advised follows each.
	Asks  []Ask
	Looks []Look
	// Replies answer clients' calls by the tickets they came with.
	Replies []Reply
	// Deposed says that a newer owner has been at an endpoint, or may have come unnoticed: no
	// order is to be given any more.
	Deposed bool
	// AskBoxes asks for the platform's list of boxes: an endpoint is silent.
	AskBoxes bool
	// Notes are decisions and changes of belief for the log.
	Notes []Note
}

// Commit is what is to be appended to the cell's stream next.
type Commit struct {
	Number  int
	Records []damsonwinch.Record
}

// Start is an order to an endpoint.
type Start struct {
	At    damsonwinch.Endpoint
	Order damsonwinch.StartOrder
}

// Stop is an order to an endpoint.
type Stop struct {
	At    damsonwinch.Endpoint
	Order damsonwinch.StopOrder
}

// Look is a question to an endpoint.
type Look struct {
	At     damsonwinch.Endpoint
	Order  damsonwinch.LookOrder
	Number int
}

// Reply answers a client's call.
type Reply struct {
	Ticket int
	Reply  wire.JobReply
}

// Note is a decision or a change of belief, for the log.
type Note struct {
	What     string
	Queue    string
	Customer string
	Job      string
	Task     string
	Endpoint string
	Why      string
	// Minor marks what happens for each task, of which the log has room for less.
	Minor bool
}

// Stats counts what a cell has done.
type Stats struct {
	Accepted  int
	Completed int
	Failed    int
	Cancelled int
	// Refused counts jobs that the store could not be given in time.
	Refused   int
	Starts    int
	Reruns    int
	Refusals  int
	Commits   int
	Looks     int
	Lapsed    int
	Ejections int
	// EndpointsLost counts lives that ended while tasks may have run there, and RunsLost
	// those tasks.
	EndpointsLost int
	RunsLost      int
	// Held counts how often a customer has come to wait for its allowance.
	Held int
	// GivenUp counts jobs that were given up since a task crashes its endpoints.
	GivenUp int
}

// Stats returns the counters.
func (c *Cell) Stats() Stats {
	return c.stats
}

func (c *Cell) note(what string, r *run, why string) {
	c.effects.Notes = append(c.effects.Notes, Note{
		What: what, Job: r.task.phase.round.job.id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Why: why,
	})
}

// noteStart notes that an attempt is ordered, and what decided where.
func (c *Cell) noteStart(r *run) {
	c.effects.Notes = append(c.effects.Notes, Note{
		What: "start", Job: r.task.phase.round.job.id, Task: r.id().Task.String(), Endpoint: r.endpoint.info.Life.String(), Minor: true,
		Why: fmt.Sprintf("attempt %d, waited %d ms, %d thousandths of a core of %d in use there", r.attempt,
			c.now.Sub(r.startedAt).Milliseconds(), r.endpoint.used.CPU, r.endpoint.info.Capacity.CPU),
	})
}

func (c *Cell) noteJob(what string, j *job, why string) {
	c.effects.Notes = append(c.effects.Notes, Note{What: what, Job: j.id, Why: why})
}

func (c *Cell) noteCustomer(what, customer, why string) {
	c.effects.Notes = append(c.effects.Notes, Note{What: what, Customer: customer, Why: why})
}

func (c *Cell) noteQueue(what, queue, why string) {
	c.effects.Notes = append(c.effects.Notes, Note{What: what, Queue: queue, Why: why})
}

func (c *Cell) noteEndpoint(what string, e *endpoint, why string) {
	c.effects.Notes = append(c.effects.Notes, Note{What: what, Endpoint: e.info.Life.String(), Why: why})
}
