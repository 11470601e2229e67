package cell_test

import (
	"strings"
	"testing"
	"time"

	"damsonwinch"
)

// Times of the registry in runs whose boxes change their room.
const (
	// roomBeat is the time between two writes of an endpoint's entry, and roomContact how long
	// after that a room that has shrunk counts.
	roomBeat    = 500 * time.Millisecond
	roomContact = 3 * time.Second
	// roomChange is the time between two changes of a box's room.
	roomChange = 250 * time.Millisecond
	roomBoxes  = 4
	roomJobs   = 24
)

// roomBefore is a room that an endpoint had until a moment.
type roomBefore struct {
	room  damsonwinch.Resources
	until time.Time
}

// playShrinking plays one run of a seed in which boxes' rooms shrink and grow, their endpoints
// start whatever they are told, and the registry is away at times, beside all other trouble.
func playShrinking(seed uint64, broken sabotage) *world {
	w := newWorld(seed, broken)
	w.boxCount, w.attentive, w.resets = roomBoxes, true, true
	w.room = &simRooms{written: map[string]damsonwinch.Endpoint{}}
	w.begin(roomJobs)
	w.after(0, w.changeRoom)
	for range 2 {
		w.after(w.between(0, simTrouble), func() {
			w.logf("the registry is out")
			w.room.out = true
			w.after(w.between(time.Second, 7*time.Second), func() { w.room.out = false })
		})
	}
	w.finish()
	return w
}

// simRooms is the registry of a run whose boxes change their room.
type simRooms struct {
	written map[string]damsonwinch.Endpoint
	out     bool
}

// changeRoom gives a box less room, or more.
func (w *world) changeRoom() {
	if !w.trouble {
		for _, e := range w.endpoints {
			e.info.Capacity.MilliCPU = w.boxCPU
		}
		return
	}
	if e := w.endpoints[w.random.IntN(len(w.endpoints))]; !e.dead {
		e.before = append(e.before, roomBefore{room: e.info.Capacity, until: w.now})
		e.info.Capacity.MilliCPU = w.boxCPU * w.random.IntN(11) / 10
		w.logf("%s has room for %d", e.info.Life, e.info.Capacity.MilliCPU)
	}
	w.after(roomChange, w.changeRoom)
}

// beat writes an endpoint's entry into the registry from time to time.
func (e *simEndpoint) beat() {
	w := e.world
	if e.dead {
		if !w.room.out {
			delete(w.room.written, e.info.Life.ID)
			return
		}
	} else if !w.room.out {
		entry := e.info
		entry.SeenAt = w.now
		w.room.written[e.info.Life.ID] = entry
	}
	w.after(roomBeat, e.beat)
}

// listedRooms are the entries as they were last written.
func (w *world) listedRooms() []damsonwinch.Endpoint {
	var found []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if entry, written := w.room.written[e.info.Life.ID]; written {
			found = append(found, entry)
		}
	}
	return found
}

// roomLately returns the most room that an endpoint has had lately.
func (e *simEndpoint) roomLately() int {
	most := e.info.Capacity.MilliCPU
	for _, before := range e.before {
		if e.world.now.Sub(before.until) <= roomContact+roomBeat {
			most = max(most, before.room.MilliCPU)
		}
	}
	return most
}

// TestBoxesThatShrinkAreNotOverfilled: an endpoint that starts whatever it is told is never
// brought over the room that it has had within the time in which that must be known. What is
// being stopped takes room until it has ended. Also while the registry is away, when what was
// last read of an endpoint says nothing of what it has now.
func TestBoxesThatShrinkAreNotOverfilled(t *testing.T) {
	seeds := freshSeeds(200)
	starts := 0
	for _, seed := range seeds {
		w := playShrinking(seed, sabotage{})
		if w.rules.broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.broken, strings.Join(w.log, "\n"))
		}
		starts += w.rules.starts
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// TestOldKnowledgeOfRoomIsSeen: without a bound on its age some seed is broken.
func TestOldKnowledgeOfRoomIsSeen(t *testing.T) {
	for _, seed := range freshSeeds(100) {
		if broken := playShrinking(seed, sabotage{oldRoom: true}).rules.broken; broken != "" {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
