package entry

import (
	"time"

	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/settings"
)

// busyRoutePause is how long an entry that replied that it has no free slot counts as busy.
const busyRoutePause = 50 * time.Millisecond

// unansweredRoutePause is how long an entry that did not reply counts as busy.
const unansweredRoutePause = 2 * time.Second

// tryForward forwards a request to another entry if that one probably has free slots in the pool and
// this entry has none, or if this entry can't send to the pool. It reports whether it did. A request is
// forwarded only once, so that entries don't pass it back and forth.
func (e *Entry) tryForward(m acquireMessage, row settings.Row) bool {
	if m.forwarded || e.canStartNow(row.Pool, m.item.Size) {
		return false
	}
	chosen := e.chooseRoute(row.Pool, m.tried)
	if chosen == nil {
		return false
	}
	if !e.now().After(chosen.busyUntil) && e.canSendTo(row.Pool) {
		return false
	}
	e.deps.Metrics.Add("forwarded", 1)
	m.reply <- grant{forwardTo: chosen.key, address: chosen.address, row: row}
	return true
}

// canStartNow reports whether a request of the given size would start at once on one of this entry's
// boxes.
func (e *Entry) canStartNow(pool string, size int) bool {
	if !e.canSendTo(pool) || e.queue(pool).Total() > 0 {
		return false
	}
	for _, box := range e.ownBoxes(pool) {
		if e.mayStartOn(box, false) && e.candidate(box).Free() >= size {
			return true
		}
	}
	return false
}

// chooseRoute returns an entry to which a request for the pool can be forwarded, or nil. It draws at
// random among the entries that are not busy and were not tried, weighted by their slots in the pool; if
// all are busy, among those that were not tried.
func (e *Entry) chooseRoute(pool string, tried map[string]bool) *route {
	now := e.now()
	for _, onlyFree := range []bool{true, false} {
		if chosen := e.drawRoute(pool, tried, now, onlyFree); chosen != nil {
			return chosen
		}
	}
	return nil
}

// drawRoute draws a route of the pool at random, weighted by slots. It leaves out routes that were tried
// and, with onlyFree, routes that are busy at now. It returns nil if no route is left.
func (e *Entry) drawRoute(pool string, tried map[string]bool, now time.Time, onlyFree bool) *route {
	var chosen *route
	total := 0
	for i := range e.routes[pool] {
		candidate := &e.routes[pool][i]
		if tried[candidate.key.String()] || (onlyFree && now.Before(candidate.busyUntil)) {
			continue
		}
		total += candidate.slots
		if e.random.IntN(total) < candidate.slots {
			chosen = candidate
		}
	}
	return chosen
}

// reroute forwards waiting requests whose pool this entry can't send to any more, because its boxes went
// to other entries or its lease ran out. Otherwise they would wait until their deadlines although other
// entries have free boxes. A request that was forwarded to this entry is refused, so that the entry that
// forwarded it can try another one.
func (e *Entry) reroute() {
	for id, waiting := range e.requests {
		if waiting.box != "" || e.canSendTo(waiting.pool) {
			continue
		}
		row, _ := e.state.Table().Row(waiting.item.Service)
		chosen := e.chooseRoute(waiting.pool, waiting.tried)
		switch {
		case waiting.forwarded:
			e.queue(waiting.pool).Remove(id)
			e.refuseWaiting(waiting, e.noBoxRefusal(waiting.pool))
		case chosen != nil:
			e.queue(waiting.pool).Remove(id)
			e.forget(waiting)
			e.deps.Metrics.Add("rerouted", 1)
			waiting.reply <- grant{forwardTo: chosen.key, address: chosen.address, row: row}
		}
	}
}

// handleForwarded updates how long the entry to which a request was forwarded counts as busy.
func (e *Entry) handleForwarded(m forwardedMessage) {
	for i := range e.routes[m.pool] {
		peer := &e.routes[m.pool][i]
		if peer.key != m.peer {
			continue
		}
		peer.busyUntil = time.Time{}
		switch {
		case m.unanswered:
			peer.busyUntil = e.now().Add(unansweredRoutePause)
		case m.busy:
			peer.busyUntil = e.now().Add(busyRoutePause)
		}
	}
}

// poolOf returns the pool of a service, or "" if the service is not in the table.
func poolOf(state fleetstate.State, service string) string {
	row, _ := state.Table().Row(service)
	return row.Pool
}
