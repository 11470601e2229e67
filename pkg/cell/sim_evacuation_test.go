package cell_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"damsonwinch"
)

// Sizes and times of a simulation with evacuations.
const (
	evacuatedBoxes = 6
	// evacuationsPerRun is the number of evacuations, some of which overlap.
	evacuationsPerRun = 4
	// simMaxEvacuationAge is the bound after which no owner may start a task in an evacuated zone.
	simMaxEvacuationAge = 600 * time.Millisecond
	// operatorReadInterval is the time between two reads of the operator's requests by an owner.
	operatorReadInterval = 100 * time.Millisecond
	// maxStartTransit is how long a start request is on its way if it isn't delayed.
	maxStartTransit = 20 * time.Millisecond
)

// simZones are the availability zones of the boxes.
var simZones = []string{"north", "south", "east"}

// simOperator evacuates availability zones and takes them back.
type simOperator struct {
	world *world
	// evacuatedAt holds, by zone, since when the zone has been evacuated.
	evacuatedAt map[string]time.Time
}

// zoneOf returns the zone of a box, which is empty in simulations without evacuations.
func (o *simOperator) zoneOf(box string) string {
	if o == nil {
		return ""
	}
	return simZones[int(box[len(box)-1]-'0')%len(simZones)]
}

// simulateEvacuations runs the simulation of a seed with random faults in which the operator
// evacuates zones, sometimes two at a time.
func simulateEvacuations(seed uint64, m mutation) *world {
	return simulateEvacuationsWith(seed, m, func(*world) {})
}

// simulateEvacuationsWith is simulateEvacuations with a function that changes the world after it has been set up.
func simulateEvacuationsWith(seed uint64, m mutation, change func(w *world)) *world {
	w := newWorld(seed, m)
	w.boxCount, w.promptPolls, w.resetsOnExit = evacuatedBoxes, true, true
	w.operator = &simOperator{world: w, evacuatedAt: map[string]time.Time{}}
	w.setUp(2 * defaultJobs)
	for range evacuationsPerRun {
		w.after(w.randomDuration(0, simFaultTime), w.operator.evacuate)
	}
	change(w)
	w.runToEnd()
	return w
}

// evacuate evacuates a random zone and takes it back later.
func (o *simOperator) evacuate() {
	w := o.world
	zone := simZones[w.random.IntN(len(simZones))]
	if _, evacuated := o.evacuatedAt[zone]; evacuated || len(o.evacuatedAt) == len(simZones)-1 {
		return
	}
	w.logf("zone %s is evacuated", zone)
	o.evacuatedAt[zone] = w.now
	w.after(w.randomDuration(500*time.Millisecond, 6*time.Second), func() {
		w.logf("zone %s is taken back", zone)
		delete(o.evacuatedAt, zone)
	})
}

// readOperator reads which zones are evacuated, again and again, as long as the owner reaches the
// store. The first response may take long.
func (o *simOwner) readOperator() {
	w := o.world
	if w.operator == nil {
		return
	}
	delay := w.randomDuration(time.Millisecond, 20*time.Millisecond)
	if w.chance(0.1) {
		delay = w.randomDuration(100*time.Millisecond, 3*time.Second)
	}
	if !o.cutOffFromStore {
		zones, readAt := slices.Sorted(maps.Keys(w.operator.evacuatedAt)), o.now()
		if w.mutation.hideEvacuations {
			zones = nil
		}
		w.after(delay, func() {
			o.whenRunning(func() { o.cell.SetEvacuations(o.now(), zones, readAt) })
		})
	}
	w.after(max(delay, operatorReadInterval), func() {
		if !o.exited {
			o.readOperator()
		}
	})
}

// checkEvacuation checks that a start isn't in a zone that was evacuated longer ago than the bound.
// A request that arrives late doesn't count: its owner could not know.
func (r *rules) checkEvacuation(e *simEndpoint, request damsonwinch.StartRequest) {
	if r.world.operator == nil || r.world.requestDelayed {
		return
	}
	since, evacuated := r.world.operator.evacuatedAt[e.info.Zone]
	if evacuated && r.world.now.Sub(since) > simMaxEvacuationAge+maxStartTransit {
		r.fail("EVAC: %s starts on %s in zone %s, %v after its evacuation", request.Task, e.info.Life, e.info.Zone, r.world.now.Sub(since))
	}
}

// TestNothingStartsInEvacuatedZones checks that no task starts in a zone from a fixed time after its
// evacuation on, while owners are killed, paused, cut off and replaced and learn of evacuations
// late. In the end all work must be done.
func TestNothingStartsInEvacuatedZones(t *testing.T) {
	checkSeeds(t, testSeeds(120), simulateEvacuations)
}

// TestRulesDetectIgnoredEvacuations checks that some seed violates the rule if owners don't know the
// evacuated zones, or trust what they knew of them long ago.
func TestRulesDetectIgnoredEvacuations(t *testing.T) {
	for name, m := range map[string]mutation{
		"evacuations are hidden":      {hideEvacuations: true},
		"old evacuations are trusted": {staleEvacuations: true},
	} {
		t.Run(name, func(t *testing.T) { expectViolation(t, "EVAC", testSeeds(2000), m, simulateEvacuations) })
	}
}
