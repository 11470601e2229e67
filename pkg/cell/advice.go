package cell

import (
	"slices"
	"time"

	"damsonwinch"
)

// Rules of asking for permits.
const (
	// maxEndpointsPerCall is the number of endpoints named in one call: each adds to the time
	// that the call takes, and a phase's objective counts one call on 30.
	maxEndpointsPerCall = 30
	// maxPermitCalls is the number of calls on their way: the service takes one at a
	// time from each node and turns calls away when 32 wait, also those of other
	// cells here.
	maxPermitCalls = 6
	// permitMargin is left of a permit's time for the start to arrive.
	permitMargin = 250 * time.Millisecond
	// permitRetryInterval is the time between two calls for a phase that got no permit.
	permitRetryInterval = 500 * time.Millisecond
)

// PermitRequest is a call for permits.
type PermitRequest struct {
	Job       string
	Round     int
	Phase     int
	Endpoints []string
}

// advice is what the advice service has said about a phase.
type advice struct {
	inFlight    bool
	requestedAt time.Time
	// decisions tell for each life that was asked about whether it may run the
	// phase, which doesn't change.
	decisions map[string]bool
	permits   map[string]permit
}

// permit allows a phase at an endpoint for a time.
type permit struct {
	ticket string
	until  time.Time
}

// needsPermit says whether a phase may run only where the advice service allows.
func (c *Cell) needsPermit(p *phase) bool {
	return c.queues[p.job().queue].Advice != nil
}

// hasPermit says whether a phase may start at an endpoint now.
func (c *Cell) hasPermit(p *phase, e *endpoint) bool {
	if !c.needsPermit(p) {
		return true
	}
	held, has := p.advice.permits[e.info.Life.ID]
	return has && c.now.Add(permitMargin).Before(held.until)
}

// requestPermits asks where a phase may run, for endpoints that would otherwise take
// its tasks.
func (c *Cell) requestPermits(p *phase) {
	a := &p.advice
	if !c.needsPermit(p) || a.inFlight || c.permitCalls >= maxPermitCalls || len(p.ready) == 0 || c.now.Sub(a.requestedAt) < permitRetryInterval {
		return
	}
	t := p.ready[0]
	var wanted []*endpoint
	for _, e := range c.sortedEndpoints {
		good, asked := a.decisions[e.info.Life.ID]
		if (!asked || good) && c.canHost(t, e) && !c.hasPermit(p, e) {
			wanted = append(wanted, e)
		}
	}
	if len(wanted) == 0 {
		return
	}
	slices.SortStableFunc(wanted, func(x, y *endpoint) int { return c.score(t, y) - c.score(t, x) })
	ask := PermitRequest{Job: p.job().id, Round: p.round.number, Phase: p.number}
	for _, e := range wanted[:min(len(wanted), maxEndpointsPerCall)] {
		ask.Endpoints = append(ask.Endpoints, e.info.Life.ID)
	}
	a.inFlight, a.requestedAt = true, c.now
	c.permitCalls++
	c.effects.PermitRequests = append(c.effects.PermitRequests, ask)
}

// Advised takes the answer to a call for permits, which was sent at some moment and
// whose permits hold for a time from then on at least.
func (c *Cell) Advised(now, sentAt time.Time, ask PermitRequest, permits []damsonwinch.Permit, valid time.Duration, err error) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	c.permitCalls--
	t := c.findTask(damsonwinch.TaskID{Job: ask.Job, Round: ask.Round, Phase: ask.Phase})
	if t == nil {
		return
	}
	a := &t.phase.advice
	a.inFlight = false
	if err != nil {
		c.logJob("no advice", t.phase.job(), err.Error())
		return
	}
	// Another call may follow at once, about other endpoints.
	a.requestedAt = time.Time{}
	if a.decisions == nil {
		a.decisions, a.permits = map[string]bool{}, map[string]permit{}
	}
	for _, id := range ask.Endpoints {
		a.decisions[id] = false
	}
	for _, granted := range permits {
		a.decisions[granted.EndpointID] = true
		a.permits[granted.EndpointID] = permit{ticket: granted.Ticket, until: sentAt.Add(valid)}
	}
}

// permitTicket returns what a start at an endpoint has to bring.
func (c *Cell) permitTicket(p *phase, e *endpoint) string {
	return p.advice.permits[e.info.Life.ID].ticket
}

// dropPermit forgets a permit that an endpoint has not accepted.
func (p *phase) dropPermit(e *endpoint) {
	delete(p.advice.permits, e.info.Life.ID)
}
