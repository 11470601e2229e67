package cell

import (
	"slices"
	"time"

	"damsonwinch"
)

// Limits of the calls for permits.
const (
	// maxEndpointsPerCall is the highest number of endpoints in one call. Each of them adds to the
	// time that the call takes, and the time targets of phases assume a call for 30 endpoints.
	maxEndpointsPerCall = 30
	// maxPermitCalls is the highest number of calls in flight. The service handles one call at a
	// time from each node and rejects calls when 32 are waiting, including those of other cells on
	// this node.
	maxPermitCalls = 6
	// permitMargin is the part of a permit's validity that is kept for the start request to arrive.
	permitMargin = 250 * time.Millisecond
	// permitRetryInterval is the time between two calls for the same phase if the first one failed.
	permitRetryInterval = 500 * time.Millisecond
)

// PermitRequest is a call to the advice service for permits to run a phase on endpoints, which are
// given by their IDs. The owner passes the reply to Advised.
type PermitRequest struct {
	Job       string
	Round     int
	Phase     int
	Endpoints []string
}

// advice holds the state of a phase's calls to the advice service, and the decisions and permits
// that it has received.
type advice struct {
	inFlight    bool
	requestedAt time.Time
	// decisions holds, by endpoint ID, whether the phase may run there. A decision does not change.
	decisions map[string]bool
	permits   map[string]permit
}

// permit allows a phase to start on an endpoint until a time. Start requests have to carry the
// ticket.
type permit struct {
	ticket string
	until  time.Time
}

// needsPermit reports whether the phase may run only where the advice service permits it.
func (c *Cell) needsPermit(p *phase) bool {
	return c.queues[p.job().queue].Advice != nil
}

// hasPermit reports whether a phase has a permit for an endpoint that stays valid for more than
// permitMargin, or needs none.
func (c *Cell) hasPermit(p *phase, e *endpoint) bool {
	if !c.needsPermit(p) {
		return true
	}
	held, ok := p.advice.permits[e.info.Life.ID]
	return ok && c.now.Add(permitMargin).Before(held.until)
}

// requestPermits requests permits for endpoints that could take the phase's tasks and for which it
// has no valid permit, the best ones first. It makes no call while another one for the phase is in
// flight, or less than permitRetryInterval after a call that failed was sent.
func (c *Cell) requestPermits(p *phase) {
	a := &p.advice
	if !c.needsPermit(p) || a.inFlight || c.permitCalls >= maxPermitCalls || len(p.ready) == 0 || c.now.Sub(a.requestedAt) < permitRetryInterval {
		return
	}
	t := p.ready[0]
	var candidates []*endpoint
	for _, e := range c.sortedEndpoints {
		permitted, decided := a.decisions[e.info.Life.ID]
		if (!decided || permitted) && c.canHost(t, e) && !c.hasPermit(p, e) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y *endpoint) int { return c.score(t, y) - c.score(t, x) })
	request := PermitRequest{Job: p.job().id, Round: p.round.number, Phase: p.number}
	for _, e := range candidates[:min(len(candidates), maxEndpointsPerCall)] {
		request.Endpoints = append(request.Endpoints, e.info.Life.ID)
	}
	a.inFlight, a.requestedAt = true, c.now
	c.permitCalls++
	c.effects.PermitRequests = append(c.effects.PermitRequests, request)
}

// Advised handles the reply to a call for permits. The permits are valid for at least the given
// time from sentAt, when the call was sent.
func (c *Cell) Advised(now, sentAt time.Time, request PermitRequest, permits []damsonwinch.Permit, valid time.Duration, err error) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	c.permitCalls--
	t := c.findTask(damsonwinch.TaskID{Job: request.Job, Round: request.Round, Phase: request.Phase})
	if t == nil {
		return
	}
	a := &t.phase.advice
	a.inFlight = false
	if err != nil {
		c.logJob("no advice", t.phase.job(), err.Error())
		return
	}
	// Another call, about other endpoints, may follow at once.
	a.requestedAt = time.Time{}
	if a.decisions == nil {
		a.decisions, a.permits = map[string]bool{}, map[string]permit{}
	}
	for _, id := range request.Endpoints {
		a.decisions[id] = false
	}
	for _, granted := range permits {
		a.decisions[granted.EndpointID] = true
		a.permits[granted.EndpointID] = permit{ticket: granted.Ticket, until: sentAt.Add(valid)}
	}
}

// permitTicket returns the ticket that a start request of the phase to the endpoint has to carry.
// It is empty if no permit is needed.
func (c *Cell) permitTicket(p *phase, e *endpoint) string {
	return p.advice.permits[e.info.Life.ID].ticket
}

// dropPermit forgets the phase's permit for an endpoint that has refused its ticket.
func (p *phase) dropPermit(e *endpoint) {
	delete(p.advice.permits, e.info.Life.ID)
}
