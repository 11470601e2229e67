package cell_test

import (
	"errors"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
)

// pollTimeout is how long an endpoint may take to answer a poll beside the time for which it may hold it.
const pollTimeout = 500 * time.Millisecond

// endpointFaults says by endpoint ID what the endpoints of a crowdedCell do wrong.
type endpointFaults struct {
	// refusals holds the errors with which endpoints refuse all starts.
	refusals map[string]error
	// strays holds runs that the cell doesn't know.
	strays map[string][]damsonwinch.RunProgress
	// losses holds how many polls of an endpoint get lost between two that it answers, and lost how
	// many have since the last one.
	losses map[string]int
	lost   map[string]int
	// denied holds endpoints for which the advice service gives no permit.
	denied map[string]bool
	// exited holds endpoints that have exited: another life answers at their addresses.
	exited map[string]bool
	// unanswered holds the polls that got lost and have not timed out yet.
	unanswered []lostPoll
}

// lostPoll is a poll that fails at a time.
type lostPoll struct {
	poll    cell.Poll
	failsAt time.Time
}

// newEndpointFaults returns an endpointFaults without any fault.
func newEndpointFaults() endpointFaults {
	return endpointFaults{refusals: map[string]error{}, strays: map[string][]damsonwinch.RunProgress{}, losses: map[string]int{}, lost: map[string]int{}, denied: map[string]bool{}, exited: map[string]bool{}}
}

// exit ends an endpoint and everything that runs there.
func (c *crowdedCell) exit(id string) {
	c.faults.exited[id] = true
	c.running[damsonwinch.Life{ID: id}] = nil
	c.listed = slices.DeleteFunc(c.listed, func(info damsonwinch.Endpoint) bool { return info.Life.ID == id })
	c.cell.SetEndpoints(c.now, c.listed)
}

// losesPoll reports whether a poll gets lost. It then fails after pollTimeout.
func (c *crowdedCell) losesPoll(poll cell.Poll) bool {
	id := poll.Endpoint.Life.ID
	if c.faults.lost[id] >= c.faults.losses[id] {
		c.faults.lost[id] = 0
		return false
	}
	c.faults.lost[id]++
	c.faults.unanswered = append(c.faults.unanswered, lostPoll{poll: poll, failsAt: c.now.Add(poll.Request.MaxWait + pollTimeout)})
	return true
}

// timeOutPolls has the cell know of the polls that have timed out.
func (c *crowdedCell) timeOutPolls() {
	pending := c.faults.unanswered[:0:0]
	for _, lost := range c.faults.unanswered {
		if c.now.Before(lost.failsAt) {
			pending = append(pending, lost)
			continue
		}
		c.cell.Polled(c.now, lost.poll.Endpoint.Life, lost.poll.Number, damsonwinch.PollReply{}, errors.New("timeout"))
	}
	c.faults.unanswered = pending
}

// finishOldest ends the oldest run on an endpoint.
func (c *crowdedCell) finishOldest(id string, ending damsonwinch.Ending) {
	life := damsonwinch.Life{ID: id}
	if len(c.running[life]) == 0 {
		return
	}
	c.results[life] = append(c.results[life], damsonwinch.RunResult{Sequence: len(c.results[life]) + 1, Run: c.running[life][0].Run, Ending: ending})
	c.running[life] = c.running[life][1:]
}
