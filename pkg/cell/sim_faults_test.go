package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// simulateFaults runs the simulation of a seed with random faults and returns its world.
func simulateFaults(seed uint64, m mutation) *world {
	w := newWorld(seed, m)
	w.setUp(defaultJobs)
	w.runToEnd()
	return w
}

// Numbers of jobs and of injected faults in a simulation.
const (
	defaultJobs  = 8
	faultsPerRun = 14
)

// setUp adds boxes, an owner and clients, and schedules random faults.
func (w *world) setUp(jobs int) {
	w.setUpWithoutFaults(jobs)
	w.after(0, w.restarts.check)
	for range faultsPerRun {
		w.after(w.randomDuration(0, simFaultTime), w.injectFault)
	}
}

// setUpWithoutFaults adds boxes, an owner and clients.
func (w *world) setUpWithoutFaults(jobs int) {
	for box := range w.boxCount {
		w.addEndpoint(fmt.Sprintf("box-%d", box))
	}
	w.addOwner()
	for number := range jobs {
		w.after(w.randomDuration(0, simFaultTime*3/4), func() { w.addRandomClient(fmt.Sprintf("job%d", number)) })
	}
}

// runToEnd runs the simulation and checks its final state.
func (w *world) runToEnd() {
	start := w.now
	w.at(start.Add(simFaultTime), w.endFaults)
	w.at(start.Add(simFaultTime+time.Second), w.addBoxIfNeeded)
	end := start.Add(simFaultTime + simRecoveryTime)
	w.run(end)
	for w.isMakingProgress() && w.now.Before(end.Add(simRecoveryTime)) {
		w.run(w.now.Add(simExtensionStep))
	}
	if w.rules.violation == "" {
		w.rules.checkEnd()
	}
}

// isMakingProgress reports whether jobs are unfinished and tasks still get done, one after another.
// If long-running tasks leave little capacity, the work of the jobs may take longer than
// simRecoveryTime.
func (w *world) isMakingProgress() bool {
	if w.rules.violation != "" || w.now.Sub(w.rules.lastDoneAt) > max(simExtensionStep, w.maxCompletionGap) {
		return false
	}
	return slices.ContainsFunc(w.clients, func(c *simClient) bool { return c.unfinished() })
}

// addRandomClient adds a client with a random job.
func (w *world) addRandomClient(id string) {
	behaviour := taskBehaviour{
		need: damsonwinch.Resources{MilliCPU: 1000 + w.random.IntN(3000), MemoryMB: 500}, duration: w.randomDuration(50*time.Millisecond, w.maxTaskTime),
	}
	if w.random.Float64() < 0.15 {
		behaviour.failureRate = 0.4
	}
	phase := wire.Phase{Count: 1 + w.random.IntN(4), Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 300}
	phase.Copies = w.random.Float64() < 0.2
	phases := []wire.Phase{phase}
	switch {
	case w.random.Float64() < 0.15:
		// Long-running tasks need little CPU here, so that enough is left for all other jobs.
		behaviour.longRunning, behaviour.failureRate, behaviour.need.MilliCPU = true, 0, 300
		phases[0].Lasting, phases[0].Copies, phases[0].AwayAtMost, phases[0].Cpu = true, false, 1, 300
	case w.random.Float64() < 0.5:
		second := phase
		second.After, second.Copies = []int{0}, false
		phases = append(phases, second)
	}
	c := w.addClient(id, simSpec(phases...), behaviour)
	w.after(300*time.Millisecond, c.watchState)
	if w.random.Float64() < 0.15 {
		w.after(w.randomDuration(100*time.Millisecond, 3*time.Second), c.cancel)
	}
}

// randomBox returns the name of one of the boxes that were there at the start.
func (w *world) randomBox() string {
	return fmt.Sprintf("box-%d", w.random.IntN(w.boxCount))
}

// injectFault injects one random fault, unless no more faults may occur.
func (w *world) injectFault() {
	if !w.faultsOn {
		return
	}
	newest := w.owners[len(w.owners)-1]
	box := w.randomBox()
	switch w.random.IntN(9) {
	case 0:
		w.logf("owner %s is killed", newest.name)
		w.replaceOwner()
	case 1:
		w.logf("owner %s is paused", newest.name)
		newest.pausedUntil = w.now.Add(w.randomDuration(500*time.Millisecond, 4*time.Second))
		w.after(time.Second, func() { w.addOwner() })
	case 2:
		w.logf("owner %s is cut off from the store", newest.name)
		newest.cutOffFromStore = true
		w.after(time.Second, func() { w.addOwner() })
		w.after(w.randomDuration(time.Second, 4*time.Second), func() { newest.cutOffFromStore = false })
	case 3:
		w.logf("another owner claims the cell for no reason")
		w.addOwner()
	case 4, 5:
		w.cut(newest.name, box)
	case 6:
		// Cut the box off from the next owner, though this one can reach it.
		w.cut(string(rune('A'+len(w.owners)%26)), box)
		w.after(w.randomDuration(0, 500*time.Millisecond), func() { w.addOwner() })
	case 7:
		w.crashBox(box)
	case 8:
		stream := len(w.streams) - 1
		w.logf("the store refuses calls for stream %d", stream)
		w.streamDown[stream] = true
		w.after(w.randomDuration(100*time.Millisecond, 5*time.Second), func() { delete(w.streamDown, stream) })
	}
}

// cut cuts an owner and a box off from each other for a while.
func (w *world) cut(owner, box string) {
	w.logf("%s and %s are cut off from each other", owner, box)
	w.cuts[owner+box] = true
	w.after(w.randomDuration(500*time.Millisecond, 6*time.Second), func() { delete(w.cuts, owner+box) })
}

// crashBox ends the life on a box. A new one starts up to two seconds later, or much sooner with quick restarts.
func (w *world) crashBox(box string) {
	for _, e := range w.endpoints {
		if e.info.Box == box && !e.exited {
			w.logf("%s on %s crashes", e.info.Life, box)
			e.exit()
			downTime := w.randomDuration(100*time.Millisecond, 2*time.Second)
			if w.quickRestarts {
				downTime = w.randomDuration(0, nodeCallTimeout)
			}
			w.after(downTime, func() { w.addEndpoint(box) })
		}
	}
}

// endFaults ends all faults and adds an owner that can do its work.
func (w *world) endFaults() {
	w.logf("no faults from now on")
	w.faultsOn = false
	clear(w.cuts)
	clear(w.streamDown)
	for _, o := range w.owners {
		o.cutOffFromStore = false
	}
	w.after(100*time.Millisecond, func() { w.addOwner() })
}

// addBoxIfNeeded does once a second what the fleet planner would do: it adds a box if the newest
// owner reports tasks that are too large to fit beside long-running ones, and all boxes have such
// tasks.
func (w *world) addBoxIfNeeded() {
	newest := w.owners[len(w.owners)-1]
	if newest.ready && !newest.exited {
		report := newest.cell.Report(w.now)
		if report.WholeBoxes+report.WholeLateBoxes > 0 && w.countListed() <= report.LastingBoxes {
			w.logf("another box is added")
			w.addEndpoint(fmt.Sprintf("box-%d", w.lifeCount+1))
		}
	}
	w.after(time.Second, w.addBoxIfNeeded)
}

// countListed returns the number of endpoints that the registry lists.
func (w *world) countListed() int {
	return len(w.listedEndpoints())
}

// failedSeeds are seeds that once violated a rule:
//   - 10946: long-running tasks on every box left enough capacity in total but not on any one box
//     for a larger task. No planner added a box, and jobs were unfinished at the end.
//   - 14538: an attempt on an unreachable endpoint failed. The failure was not counted when the
//     endpoint reported it later, so the task was tried once too often.
//   - 128421: long-running tasks left capacity for two tasks at a time. The last of 17 tasks in a
//     row ended 0.2 s before the end of the recovery time.
var failedSeeds = []uint64{10946, 14538, 128421}

// TestRulesHoldUnderRandomFaults simulates owners that are killed, paused, cut off and replaced,
// calls that get lost, are done without a reply or are done late, and endpoints that crash or are
// cut off. DAMSONWINCH_SEEDS sets how many seeds are simulated beside failedSeeds, and
// DAMSONWINCH_FIRST_SEED the first of them.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	checkSeeds(t, append(slices.Clone(failedSeeds), testSeeds(600)...), simulateFaults)
}

// TestRulesHoldWhileRepliesAreTruncated guards against tasks that run twice because an endpoint has more results than it
// lists at once. Here it lists one.
func TestRulesHoldWhileRepliesAreTruncated(t *testing.T) {
	checkSeeds(t, testSeeds(200), func(seed uint64, m mutation) *world {
		w := newWorld(seed, m)
		w.maxListedResults = 1
		w.setUp(defaultJobs)
		w.runToEnd()
		return w
	})
}

// TestRulesDetectDisabledMechanisms disables one mechanism after another. With some seed that must
// violate a rule.
func TestRulesDetectDisabledMechanisms(t *testing.T) {
	for name, m := range map[string]mutation{
		"starts before their record":   {startBeforeRecord: true},
		"unrecorded results are acked": {ackUnrecorded: true},
		"no fencing":                   {noFencing: true},
		"records without runs":         {dropRuns: true},
		"leases expire early":          {expireLeasesEarly: true},
		"commits after a snapshot":     {commitAfterMove: true},
	} {
		t.Run(name, func(t *testing.T) { expectViolation(t, "", firstSeeds(1999), m, simulateFaults) })
	}
}
