// Package permit keeps the permits that the advice service grants for the tasks of a phase, and says
// when it may be asked for more. It makes no calls.
package permit

import (
	"time"

	"damsonwinch"
)

const (
	// maxMargin is the part of a permit's validity that is kept for the start request to arrive. Of a short validity it
	// is a marginShare-th at most.
	maxMargin   = 250 * time.Millisecond
	marginShare = 4
	// retryInterval is the time between two calls if the first one failed. It is also the time for which no call is made
	// after the tickets of two calls in a row were refused; with each further call that doubles, up to maxRefusalDelay.
	retryInterval   = 500 * time.Millisecond
	maxRefusalDelay = 4 * time.Second
)

// Permits holds the state of a phase's calls to the advice service, and the decisions and permits
// that it has received. The zero value holds none.
type Permits struct {
	inFlight bool
	// turnAt is when the last call was made, or when the phase began to wait for the first one. hadTurn is set once there
	// has been a call, or if the phase repeats another one.
	turnAt  time.Time
	hadTurn bool
	// unused is set from when a call has brought permits until one of them is used.
	unused bool
	// askAfter is the time of the next call at the earliest.
	askAfter time.Time
	// refusals is the number of calls in a row of whose tickets one was refused and none accepted. refused is set if that
	// holds for the last one.
	refusals int
	refused  bool
	// decisions holds, by the endpoint's life, whether the phase may run there. A decision does not change while
	// that life goes on; a later one may be of another kind.
	decisions map[damsonwinch.Life]bool
	granted   map[damsonwinch.Life]grant
}

// grant allows a phase to start on one life of an endpoint until shortly after a time. Start requests have to carry the
// ticket.
type grant struct {
	ticket string
	until  time.Time
}

// Valid reports whether there is a permit for a life that stays valid until a start request has arrived.
func (p *Permits) Valid(now time.Time, life damsonwinch.Life) bool {
	held, ok := p.granted[life]
	return ok && now.Before(held.until)
}

// Unused reports whether the last call has brought permits of which none has been used.
func (p *Permits) Unused() bool {
	return p.unused
}

// Use notes that a start relies on a permit.
func (p *Permits) Use() {
	p.unused = false
}

// Await notes that the phase waits for a call from now on, unless there has been one. repeats says whether it repeats an
// earlier phase: otherwise each repetition would go before other work as if it were new.
func (p *Permits) Await(now time.Time, repeats bool) {
	if p.turnAt.IsZero() {
		p.turnAt, p.hadTurn = now, repeats
	}
}

// HadTurn reports whether a call has been made for the phase, or it repeats another one.
func (p *Permits) HadTurn() bool {
	return p.hadTurn
}

// TurnBefore reports whether the phase has waited for longer than another one: since its last call, or since it began to
// wait for the first one.
func (p *Permits) TurnBefore(other *Permits) bool {
	return p.turnAt.Before(other.turnAt)
}

// MayAsk reports whether a call may be made: none is in flight, the last one was not one that failed less than
// retryInterval after it was sent, and tickets have not just been refused again and again.
func (p *Permits) MayAsk(now time.Time) bool {
	return !p.inFlight && !now.Before(p.askAfter)
}

// Refused reports whether the service has decided that the phase may not run on a life of an endpoint.
func (p *Permits) Refused(life damsonwinch.Life) bool {
	permitted, decided := p.decisions[life]
	return decided && !permitted
}

// Permitted reports whether the service has decided that the phase may run on a life of an endpoint, even if
// the permit is no longer valid. The decision does not change, so a new permit can be had.
func (p *Permits) Permitted(life damsonwinch.Life) bool {
	return p.decisions[life]
}

// Asked notes that a call has been made.
func (p *Permits) Asked(now time.Time) {
	p.inFlight, p.turnAt, p.hadTurn, p.askAfter = true, now, true, now.Add(retryInterval)
}

// Failed notes that the call in flight has failed.
func (p *Permits) Failed() {
	p.inFlight = false
}

// Answered notes the reply to the call in flight, which was about the given lives. The service knows only their
// IDs. The permits were given at the given time and are valid for a time from then on.
func (p *Permits) Answered(lives []damsonwinch.Life, permits []damsonwinch.Permit, givenAt time.Time, valid time.Duration) {
	until := givenAt.Add(valid - min(maxMargin, valid/marginShare))
	p.unused = len(permits) > 0
	// Another call, about other endpoints, may follow at once.
	p.inFlight, p.askAfter, p.refused = false, time.Time{}, false
	if p.decisions == nil {
		p.decisions, p.granted = map[damsonwinch.Life]bool{}, map[damsonwinch.Life]grant{}
	}
	tickets := make(map[string]string, len(permits))
	for _, permit := range permits {
		tickets[permit.EndpointID] = permit.Ticket
	}
	for _, life := range lives {
		ticket, permitted := tickets[life.ID]
		p.decisions[life] = permitted
		if permitted {
			p.granted[life] = grant{ticket: ticket, until: until}
		}
	}
}

// Ticket returns the ticket that a start request to a life has to carry. It is empty if there is no permit.
func (p *Permits) Ticket(life damsonwinch.Life) string {
	return p.granted[life].ticket
}

// Accepted notes that an endpoint has accepted a ticket.
func (p *Permits) Accepted() {
	p.refusals, p.refused = 0, false
}

// Refuse notes that a life has refused a ticket, and forgets its permit unless that has another ticket by now.
func (p *Permits) Refuse(now time.Time, life damsonwinch.Life, ticket string) {
	if held, exists := p.granted[life]; !exists || held.ticket != ticket {
		return
	}
	delete(p.granted, life)
	if p.refused {
		return
	}
	p.refused = true
	p.refusals++
	if p.refusals > 1 {
		p.askAfter = now.Add(refusalDelay(p.refusals))
	}
}

// refusalDelay returns how long no call is made after the tickets of a number of calls in a row were refused.
func refusalDelay(refusals int) time.Duration {
	delay := retryInterval
	for range refusals - 2 {
		delay = min(2*delay, maxRefusalDelay)
	}
	return delay
}
