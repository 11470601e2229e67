package cell_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"damsonwinch/pkg/evacuation"
	"damsonwinch/pkg/wire"
)

// simAccount is the planner's account of what still runs in evacuated zones.
type simAccount struct {
	world   *world
	tracker *evacuation.Tracker
	// requests holds the evacuations that the planner has read, by zone, and since when it knows of each.
	requests map[string]time.Time
	since    map[string]time.Time
	// clearCount is how often a zone has been found clear.
	clearCount int
}

// accountInterval is the time between two updates of the account.
const accountInterval = 100 * time.Millisecond

// simulateAccount is simulateEvacuations with a planner that keeps the account. Some zones are cut off from all
// owners when they are evacuated.
func simulateAccount(seed uint64, m mutation) *simAccount {
	a := &simAccount{requests: map[string]time.Time{}, since: map[string]time.Time{}}
	simulateEvacuationsWith(seed, m, func(w *world) {
		a.world, a.tracker = w, evacuation.New(simMaxEvacuationAge)
		a.tracker.SetCells([]evacuation.Cell{{Name: "pool", Pool: "pool"}})
		a.update()
		w.after(w.randomDuration(0, simFaultTime), a.cutOffZone)
		for range evacuationsPerRun {
			w.after(w.randomDuration(0, simFaultTime), a.evacuateAtTakeover)
		}
	})
	return a
}

// cutOffZone cuts an evacuated zone, or a random one, off from all owners.
func (a *simAccount) cutOffZone() {
	w := a.world
	zone := simZones[w.random.IntN(len(simZones))]
	for _, evacuated := range slices.Sorted(maps.Keys(w.operator.evacuatedAt)) {
		zone = evacuated
	}
	for _, e := range slices.Clone(w.endpoints) {
		for owner := 'A'; owner <= 'Z' && e.info.Zone == zone && !e.exited; owner++ {
			w.cut(string(owner), e.info.Box)
		}
	}
}

// evacuateAtTakeover evacuates a zone just after another owner has taken the cell over: that owner may read the
// request late, while the earlier one still answers the planner.
func (a *simAccount) evacuateAtTakeover() {
	w := a.world
	w.addOwner()
	w.after(w.randomDuration(20*time.Millisecond, 150*time.Millisecond), w.operator.evacuate)
}

// update reads the operator's requests, asks an owner for a report, and checks the account, again and again.
func (a *simAccount) update() {
	w := a.world
	read := maps.Clone(w.operator.evacuatedAt)
	w.after(w.randomDuration(time.Millisecond, 90*time.Millisecond), func() { a.setRequests(read) })
	if o := a.reportingOwner(); o != nil {
		reply := o.cell.Report(o.now())
		for i := range reply.EvacuatedZones {
			if row := &reply.EvacuatedZones[i]; w.mutation.hideUnseenRuns && row.UnknownEndpoints > 0 {
				*row = wire.ZoneReport{Zone: row.Zone, Endpoints: row.Endpoints}
			}
		}
		w.after(w.randomDuration(time.Millisecond, 90*time.Millisecond), func() { a.tracker.SetReport(w.now, "pool", reply) })
	}
	boxes := map[string]map[string]int{}
	for _, zone := range simZones {
		boxes[zone] = map[string]int{"pool": 1}
	}
	a.tracker.SetBoxes(boxes)
	a.tracker.Update(w.now)
	a.check()
	w.after(accountInterval, a.update)
}

// setRequests notes since when the planner knows of each request.
func (a *simAccount) setRequests(read map[string]time.Time) {
	for zone, at := range read {
		if !a.requests[zone].Equal(at) {
			a.since[zone] = a.world.now
		}
	}
	maps.DeleteFunc(a.since, func(zone string, _ time.Time) bool { return read[zone].IsZero() })
	a.requests = read
	a.tracker.SetZones(a.since)
}

// reportingOwner returns the owner that the planner takes for the cell's: usually the newest one, sometimes an
// earlier one that still runs. It returns nil if that owner can't answer.
func (a *simAccount) reportingOwner() *simOwner {
	w := a.world
	o := w.owners[len(w.owners)-1]
	if w.chance(0.5) {
		o = w.owners[w.random.IntN(len(w.owners))]
	}
	if o.exited || !o.ready || w.now.Before(o.pausedUntil) {
		return nil
	}
	return o
}

// check checks that nothing runs in the zones that are clear.
func (a *simAccount) check() {
	w := a.world
	for _, status := range a.tracker.Zones() {
		evacuatedAt := w.operator.evacuatedAt[status.Zone]
		if !status.Clear() || evacuatedAt.IsZero() || !a.requests[status.Zone].Equal(evacuatedAt) {
			continue
		}
		a.clearCount++
		for _, e := range w.endpoints {
			if e.info.Zone == status.Zone && !e.exited && len(e.runs) > 0 {
				w.rules.fail("CLEAR: zone %s is clear, and %s has %d runs", status.Zone, e.info.Life, len(e.runs))
			}
		}
	}
}

// TestNothingRunsInClearZones guards against a zone that is reported as clear while a task runs there, and against
// zones that never are, while owners are killed, paused, cut off and replaced, zones are cut off, and the planner
// hears of requests late or from an earlier owner.
func TestNothingRunsInClearZones(t *testing.T) {
	clearCount := 0
	for _, seed := range testSeeds(120) {
		a := simulateAccount(seed, mutation{})
		if a.world.rules.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, a.world.rules.violation, strings.Join(a.world.log, "\n"))
		}
		clearCount += a.clearCount
	}
	t.Logf("zones found clear %d times", clearCount)
	if clearCount == 0 {
		t.Fatal("no zone was found clear")
	}
}

// TestRulesDetectUncountedRuns checks that some seed violates the rule if runs on endpoints that don't answer aren't
// counted. The simulation doesn't detect the absence of the bound, which the scripts of pkg/evacuation cover: an
// earlier owner that can still confirm an evacuation mostly notices that it has been replaced.
func TestRulesDetectUncountedRuns(t *testing.T) {
	expectViolation(t, "CLEAR", testSeeds(2000), mutation{hideUnseenRuns: true}, func(seed uint64, m mutation) *world {
		return simulateAccount(seed, m).world
	})
}
