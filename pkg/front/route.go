package front

import (
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/settings"
)

// busyRoutePause is how long a sender that said it had no free slot is passed over.
const busyRoutePause = 50 * time.Millisecond

// unansweredRoutePause is how long a sender that gave no answer is passed over.
const unansweredRoutePause = 2 * time.Second

// tryForward sends a request to another sender of its pool when that one
// likely has room and this entry has none. A request goes on only once, so that
// no two entries pass it to and fro.
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

// canStartNow says whether a request would start at once here.
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

// chooseRoute picks by chance among the senders that may have room, by their
// slots in the pool; if none may, among all.
func (e *Entry) chooseRoute(pool string, tried map[string]bool) *route {
	now := e.now()
	for _, onlyFree := range []bool{true, false} {
		if chosen := e.drawRoute(pool, tried, now, onlyFree); chosen != nil {
			return chosen
		}
	}
	return nil
}

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

// reroute sends waiting requests on when this entry can't send to any box of
// their pool any more: its boxes went to others, or its lease ran out. Without
// this they would wait for their deadline beside boxes that are free elsewhere.
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

// handleForwarded learns from what a sender told of its free slots.
func (e *Entry) handleForwarded(m forwardedMessage) {
	for i := range e.routes[m.pool] {
		known := &e.routes[m.pool][i]
		if known.key != m.peer {
			continue
		}
		known.busyUntil = time.Time{}
		switch {
		case m.unanswered:
			known.busyUntil = e.now().Add(unansweredRoutePause)
		case m.busy:
			known.busyUntil = e.now().Add(busyRoutePause)
		}
	}
}

// poolOf returns the pool of a service in the state in force.
func poolOf(state fold.State, service string) string {
	row, _ := state.Table().Row(service)
	return row.Pool
}
