package cell_test

import (
	"strings"
	"testing"
	"time"

	"damsonwinch"
)

// Times of the registry in runs whose boxes change their room.
const (
	// registrationInterval is the time between two writes of an endpoint's entry, and roomContact how long
	// after that a room that has shrunk counts.
	registrationInterval = 500 * time.Millisecond
	maxShrinkNotice      = 3 * time.Second
	// capacityChangeInterval is the time between two changes of a box's room.
	capacityChangeInterval = 250 * time.Millisecond
	shrinkingBoxes         = 4
	shrinkingJobs          = 24
)

// pastCapacity is a room that an endpoint had until a moment.
type pastCapacity struct {
	capacity damsonwinch.Resources
	until    time.Time
}

// simulateShrinkingBoxes plays one run of a seed in which boxes' rooms shrink and grow, their endpoints
// start whatever they are told, and the registry is away at times, beside all other trouble.
func simulateShrinkingBoxes(seed uint64, broken mutation) *world {
	w := newWorld(seed, broken)
	w.boxCount, w.promptPolls, w.resetsOnExit = shrinkingBoxes, true, true
	w.registry = &simRegistry{registrations: map[string]damsonwinch.Endpoint{}}
	w.setUp(shrinkingJobs)
	w.after(0, w.changeCapacity)
	for range 2 {
		w.after(w.randomDuration(0, simFaultTime), func() {
			w.logf("the registry is out")
			w.registry.down = true
			w.after(w.randomDuration(time.Second, 7*time.Second), func() { w.registry.down = false })
		})
	}
	w.runToEnd()
	return w
}

// simRegistry is the registry of a run whose boxes change their room.
type simRegistry struct {
	registrations map[string]damsonwinch.Endpoint
	down          bool
}

// changeCapacity gives a box less room, or more.
func (w *world) changeCapacity() {
	if !w.faultsOn {
		for _, e := range w.endpoints {
			e.info.Capacity.MilliCPU = w.boxMilliCPU
		}
		return
	}
	if e := w.endpoints[w.random.IntN(len(w.endpoints))]; !e.exited {
		e.pastCapacities = append(e.pastCapacities, pastCapacity{capacity: e.info.Capacity, until: w.now})
		e.info.Capacity.MilliCPU = w.boxMilliCPU * w.random.IntN(11) / 10
		w.logf("%s has room for %d", e.info.Life, e.info.Capacity.MilliCPU)
	}
	w.after(capacityChangeInterval, w.changeCapacity)
}

// register writes an endpoint's entry into the registry from time to time.
func (e *simEndpoint) register() {
	w := e.world
	if e.exited {
		if !w.registry.down {
			delete(w.registry.registrations, e.info.Life.ID)
			return
		}
	} else if !w.registry.down {
		entry := e.info
		entry.SeenAt = w.now
		w.registry.registrations[e.info.Life.ID] = entry
	}
	w.after(registrationInterval, e.register)
}

// registeredEndpoints are the entries as they were last written.
func (w *world) registeredEndpoints() []damsonwinch.Endpoint {
	var found []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if entry, written := w.registry.registrations[e.info.Life.ID]; written {
			found = append(found, entry)
		}
	}
	return found
}

// maxRecentCapacity returns the most room that an endpoint has had lately.
func (e *simEndpoint) maxRecentCapacity() int {
	most := e.info.Capacity.MilliCPU
	for _, before := range e.pastCapacities {
		if e.world.now.Sub(before.until) <= maxShrinkNotice+registrationInterval {
			most = max(most, before.capacity.MilliCPU)
		}
	}
	return most
}

// TestShrinkingBoxesAreNotOverloaded: an endpoint that starts whatever it is told is never
// brought over the room that it has had within the time in which that must be known. What is
// being stopped takes room until it has ended. Also while the registry is away, when what was
// last read of an endpoint says nothing of what it has now.
func TestShrinkingBoxesAreNotOverloaded(t *testing.T) {
	seeds := testSeeds(200)
	starts := 0
	for _, seed := range seeds {
		w := simulateShrinkingBoxes(seed, mutation{})
		if w.rules.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
		starts += w.rules.startCount
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// TestRulesDetectStaleCapacity: without a bound on its age some seed is broken.
func TestRulesDetectStaleCapacity(t *testing.T) {
	for _, seed := range testSeeds(100) {
		if broken := simulateShrinkingBoxes(seed, mutation{staleCapacity: true}).rules.violation; broken != "" {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
