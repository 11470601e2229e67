package front

import (
	"time"

	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/settings"
)

// busyFor is how long a sender that said it had no free slot is passed over.
const busyFor = 50 * time.Millisecond

// lostFor is how long a sender that gave no answer is passed over.
const lostFor = 2 * time.Second

// goesElsewhere sends a request to another sender of its pool when that one
// likely has room and this entry has none. A request goes on only once, so that
// no two entries pass it to and fro.
func (f *Entry) goesElsewhere(m acquireMessage, row settings.Row) bool {
	if m.hop || f.freeNow(row.Pool, m.item.Size) {
		return false
	}
	chosen := f.chooseRoute(row.Pool, m.tried)
	if chosen == nil {
		return false
	}
	if !f.now().After(chosen.busyUntil) && f.mayWait(row.Pool) {
		return false
	}
	f.deps.Metrics.Add("forwarded", 1)
	m.reply <- grant{forward: chosen.key, address: chosen.address, row: row}
	return true
}

// freeNow says whether a request would start at once here.
func (f *Entry) freeNow(pool string, size int) bool {
	if !f.mayWait(pool) || f.queue(pool).Total() > 0 {
		return false
	}
	for _, box := range f.inPool(pool) {
		if f.open(box, false) && f.view(box).Free() >= size {
			return true
		}
	}
	return false
}

// chooseRoute picks by chance among the senders that may have room, by their
// slots in the pool; if none may, among all.
func (f *Entry) chooseRoute(pool string, tried map[string]bool) *route {
	now := f.now()
	for _, onlyFree := range []bool{true, false} {
		if chosen := f.drawRoute(pool, tried, now, onlyFree); chosen != nil {
			return chosen
		}
	}
	return nil
}

func (f *Entry) drawRoute(pool string, tried map[string]bool, now time.Time, onlyFree bool) *route {
	var chosen *route
	total := 0
	for i := range f.routes[pool] {
		candidate := &f.routes[pool][i]
		if tried[candidate.key.String()] || (onlyFree && now.Before(candidate.busyUntil)) {
			continue
		}
		total += candidate.slots
		if f.random.IntN(total) < candidate.slots {
			chosen = candidate
		}
	}
	return chosen
}

// reroute sends waiting requests on when this entry can't send to any box of
// their pool any more: its boxes went to others, or its lease ran out. Without
// this they would wait for their deadline beside boxes that are free elsewhere.
func (f *Entry) reroute() {
	for id, waiting := range f.jobs {
		if waiting.box != "" || f.mayWait(waiting.pool) {
			continue
		}
		row, _ := f.state.Table().Row(waiting.item.Service)
		chosen := f.chooseRoute(waiting.pool, waiting.tried)
		switch {
		case waiting.hop:
			f.queue(waiting.pool).Remove(id)
			f.refuseJob(waiting, f.noSender(waiting.pool))
		case chosen != nil:
			f.queue(waiting.pool).Remove(id)
			f.forget(waiting)
			f.deps.Metrics.Add("rerouted", 1)
			waiting.reply <- grant{forward: chosen.key, address: chosen.address, row: row}
		}
	}
}

// takeForwarded learns from what a sender told of its free slots.
func (f *Entry) takeForwarded(m forwardedMessage) {
	for i := range f.routes[m.pool] {
		known := &f.routes[m.pool][i]
		if known.key != m.peer {
			continue
		}
		known.busyUntil = time.Time{}
		switch {
		case m.lost:
			known.busyUntil = f.now().Add(lostFor)
		case m.busy:
			known.busyUntil = f.now().Add(busyFor)
		}
	}
}

// poolOf returns the pool of a service in the state in force.
func poolOf(state fold.State, service string) string {
	row, _ := state.Table().Row(service)
	return row.Pool
}
