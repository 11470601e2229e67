package cell_test

import (
	"testing"
	"time"

	"damsonwinch"
)

// Limits of a simulation with boxes whose capacity changes.
const (
	// registrationInterval is the time between two writes of an endpoint's registration.
	registrationInterval = 500 * time.Millisecond
	// A reduced capacity takes effect shrinkGrace plus one registrationInterval later. Until then
	// starts may rely on the capacity before.
	shrinkGrace = 3 * time.Second
	// capacityChangeInterval is the time between two changes of a box's capacity.
	capacityChangeInterval = 250 * time.Millisecond
	shrinkingBoxes         = 4
	shrinkingJobs          = 24
)

// pastCapacity is a capacity that an endpoint had until some time.
type pastCapacity struct {
	capacity damsonwinch.Resources
	until    time.Time
}

// simulateShrinkingBoxes runs the simulation of a seed with random faults in which the capacity of
// boxes shrinks and grows, endpoints start whatever they are told to, and the registry fails for
// some time.
func simulateShrinkingBoxes(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.boxCount, w.promptPolls, w.resetsOnExit = shrinkingBoxes, true, true
	w.registry = &simRegistry{registrations: map[string]damsonwinch.Endpoint{}}
	w.setUp(shrinkingJobs)
	w.after(0, w.changeCapacity)
	for range 2 {
		w.after(w.randomDuration(0, simFaultTime), func() {
			w.logf("the registry is down")
			w.registry.down = true
			w.after(w.randomDuration(time.Second, 7*time.Second), func() { w.registry.down = false })
		})
	}
	w.runToEnd()
	return w
}

// simRegistry is the registry of a simulation with boxes whose capacity changes. While it is down
// it can be neither read nor written.
type simRegistry struct {
	// registrations holds, by ID, the endpoints as they were last written.
	registrations map[string]damsonwinch.Endpoint
	down          bool
}

// changeCapacity changes the capacity of a random box, again and again. Once no more faults occur,
// it restores all boxes.
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
		w.logf("%s has a capacity of %d thousandths of a core", e.info.Life, e.info.Capacity.MilliCPU)
	}
	w.after(capacityChangeInterval, w.changeCapacity)
}

// register writes the endpoint's registration, again and again, and deletes it after the endpoint's
// exit.
func (e *simEndpoint) register() {
	w := e.world
	if e.exited {
		if !w.registry.down {
			delete(w.registry.registrations, e.info.Life.ID)
			return
		}
	} else if !w.registry.down {
		registration := e.info
		registration.SeenAt = w.now
		w.registry.registrations[e.info.Life.ID] = registration
	}
	w.after(registrationInterval, e.register)
}

// registeredEndpoints returns the registrations as they were last written.
func (w *world) registeredEndpoints() []damsonwinch.Endpoint {
	var registered []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if registration, exists := w.registry.registrations[e.info.Life.ID]; exists {
			registered = append(registered, registration)
		}
	}
	return registered
}

// maxRecentCapacity returns the largest CPU capacity that starts on the endpoint may rely on now.
func (e *simEndpoint) maxRecentCapacity() int {
	largest := e.info.Capacity.MilliCPU
	for _, past := range e.pastCapacities {
		if e.world.now.Sub(past.until) <= shrinkGrace+registrationInterval {
			largest = max(largest, past.capacity.MilliCPU)
		}
	}
	return largest
}

// TestShrinkingBoxesAreNotOverloaded checks that endpoints which start whatever they are told to
// never get more than they have capacity for, with shrinkGrace for a reduced capacity. A run that
// is being stopped counts until it has ended. The registry also fails, and then the last known
// capacity of an endpoint says nothing about its present one.
func TestShrinkingBoxesAreNotOverloaded(t *testing.T) {
	checkSeeds(t, testSeeds(200), simulateShrinkingBoxes)
}

// TestRulesDetectStaleCapacity checks that some seed violates a rule if the age of a reported
// capacity is not limited.
func TestRulesDetectStaleCapacity(t *testing.T) {
	expectViolation(t, "", testSeeds(100), mutation{staleCapacity: true}, simulateShrinkingBoxes)
}
