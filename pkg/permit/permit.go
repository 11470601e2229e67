// Package permit keeps the permits that the advice service grants for the tasks of a phase, and says
// when it may be asked for more. It makes no calls.
package permit

import (
	"time"

	"damsonwinch"
)

const (
	// margin is the part of a permit's validity that is kept for the start request to arrive.
	margin = 250 * time.Millisecond
	// retryInterval is the time between two calls if the first one failed.
	retryInterval = 500 * time.Millisecond
)

// Permits holds the state of a phase's calls to the advice service, and the decisions and permits
// that it has received. The zero value holds none.
type Permits struct {
	inFlight    bool
	requestedAt time.Time
	// decisions holds, by endpoint ID, whether the phase may run there. A decision does not change.
	decisions map[string]bool
	granted   map[string]grant
}

// grant allows a phase to start on an endpoint until a time. Start requests have to carry the
// ticket.
type grant struct {
	ticket string
	until  time.Time
}

// Valid reports whether there is a permit for an endpoint that stays valid for more than margin.
func (p *Permits) Valid(now time.Time, endpointID string) bool {
	held, ok := p.granted[endpointID]
	return ok && now.Add(margin).Before(held.until)
}

// MayAsk reports whether a call may be made: none is in flight, and the last one was not one that
// failed less than retryInterval after it was sent.
func (p *Permits) MayAsk(now time.Time) bool {
	return !p.inFlight && now.Sub(p.requestedAt) >= retryInterval
}

// Refused reports whether the service has decided that the phase may not run on an endpoint.
func (p *Permits) Refused(endpointID string) bool {
	permitted, decided := p.decisions[endpointID]
	return decided && !permitted
}

// Permitted reports whether the service has decided that the phase may run on an endpoint, even if the permit
// is no longer valid. The decision does not change, so a new permit can be had.
func (p *Permits) Permitted(endpointID string) bool {
	return p.decisions[endpointID]
}

// Asked notes that a call has been made.
func (p *Permits) Asked(now time.Time) {
	p.inFlight, p.requestedAt = true, now
}

// Failed notes that the call in flight has failed.
func (p *Permits) Failed() {
	p.inFlight = false
}

// Answered notes the reply to the call in flight, which was about the given endpoints. The permits
// are valid until the given time.
func (p *Permits) Answered(endpointIDs []string, permits []damsonwinch.Permit, until time.Time) {
	// Another call, about other endpoints, may follow at once.
	p.inFlight, p.requestedAt = false, time.Time{}
	if p.decisions == nil {
		p.decisions, p.granted = map[string]bool{}, map[string]grant{}
	}
	for _, id := range endpointIDs {
		p.decisions[id] = false
	}
	for _, permit := range permits {
		p.decisions[permit.EndpointID] = true
		p.granted[permit.EndpointID] = grant{ticket: permit.Ticket, until: until}
	}
}

// Ticket returns the ticket that a start request to the endpoint has to carry. It is empty if there is
// no permit.
func (p *Permits) Ticket(endpointID string) string {
	return p.granted[endpointID].ticket
}

// Drop forgets the permit for an endpoint that has refused its ticket.
func (p *Permits) Drop(endpointID string) {
	delete(p.granted, endpointID)
}
