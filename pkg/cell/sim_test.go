package cell_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// simulateFaults plays one run of a seed and returns its world.
func simulateFaults(seed uint64, broken mutation) *world {
	w := newWorld(seed, broken)
	w.setUp(defaultJobs)
	w.runToEnd()
	return w
}

// Numbers of jobs and of things that go wrong in a run.
const (
	defaultJobs  = 8
	faultsPerRun = 14
)

// setUp sets up boxes, an owner, clients and what goes wrong.
func (w *world) setUp(jobs int) {
	w.setUpWithoutFaults(jobs)
	for range faultsPerRun {
		w.after(w.randomDuration(0, simFaultTime), w.injectFault)
	}
}

// setUpWithoutFaults sets up boxes, an owner and clients.
func (w *world) setUpWithoutFaults(jobs int) {
	for box := range w.boxCount {
		w.addEndpoint(fmt.Sprintf("box-%d", box))
	}
	w.addOwner()
	for number := range jobs {
		w.after(w.randomDuration(0, simFaultTime*3/4), func() { w.addRandomClient(fmt.Sprintf("job%d", number)) })
	}
}

// runToEnd lets a run happen and judges its end.
func (w *world) runToEnd() {
	begin := w.now
	w.at(begin.Add(simFaultTime), w.endFaults)
	w.at(begin.Add(simFaultTime+time.Second), w.addBoxIfNeeded)
	end := begin.Add(simFaultTime + simRecoveryTime)
	w.run(end)
	for w.isMakingProgress() && w.now.Before(end.Add(simRecoveryTime)) {
		w.run(w.now.Add(simExtensionStep))
	}
	if w.rules.violation == "" {
		w.rules.checkEnd()
	}
}

// isMakingProgress tells whether jobs are left and tasks still end one after the other: lasting jobs
// may leave so little room that a run's work is longer than the calm.
func (w *world) isMakingProgress() bool {
	if w.rules.violation != "" || w.now.Sub(w.rules.lastDoneAt) > max(simExtensionStep, w.maxCompletionGap) {
		return false
	}
	return slices.ContainsFunc(w.clients, func(c *simClient) bool { return c.unfinished() })
}

// addRandomClient adds a addRandomClient with a job drawn at random.
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
		// Small, so that there is room for the others for good.
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

func (w *world) randomBox() string {
	return fmt.Sprintf("box-%d", w.random.IntN(w.boxCount))
}

// injectFault is one thing that goes wrong.
func (w *world) injectFault() {
	if !w.faultsOn {
		return
	}
	newest := w.owners[len(w.owners)-1]
	box := w.randomBox()
	switch w.random.IntN(9) {
	case 0:
		w.logf("owner %s is killed", newest.name)
		newest.exit("killed")
		w.after(w.randomDuration(10*time.Millisecond, time.Second), func() { w.addOwner() })
	case 1:
		w.logf("owner %s freezes", newest.name)
		newest.pausedUntil = w.now.Add(w.randomDuration(500*time.Millisecond, 4*time.Second))
		w.after(time.Second, func() { w.addOwner() })
	case 2:
		w.logf("owner %s loses the store", newest.name)
		newest.cutOffFromStore = true
		w.after(time.Second, func() { w.addOwner() })
		w.after(w.randomDuration(time.Second, 4*time.Second), func() { newest.cutOffFromStore = false })
	case 3:
		w.logf("a claim for no reason")
		w.addOwner()
	case 4, 5:
		w.cut(newest.name, box)
	case 6:
		// Cut from those to come: the next owner can't reach what this one can.
		w.cut(string(rune('A'+len(w.owners)%26)), box)
		w.after(w.randomDuration(0, 500*time.Millisecond), func() { w.addOwner() })
	case 7:
		w.crashBox(box)
	case 8:
		stream := len(w.streams) - 1
		w.logf("stream %d is out", stream)
		w.streamDown[stream] = true
		w.after(w.randomDuration(100*time.Millisecond, 5*time.Second), func() { delete(w.streamDown, stream) })
	}
}

func (w *world) cut(owner, box string) {
	w.logf("cut between %s and %s", owner, box)
	w.cuts[owner+box] = true
	w.after(w.randomDuration(500*time.Millisecond, 6*time.Second), func() { delete(w.cuts, owner+box) })
}

// crashBox ends the life on a box; a new one comes.
func (w *world) crashBox(box string) {
	for _, e := range w.endpoints {
		if e.info.Box == box && !e.exited {
			w.logf("%s on %s crashes", e.info.Life, box)
			e.exit()
			w.after(w.randomDuration(100*time.Millisecond, 2*time.Second), func() { w.addEndpoint(box) })
		}
	}
}

// endFaults ends all trouble, with an owner that can do its work.
func (w *world) endFaults() {
	w.logf("calm from here on")
	w.faultsOn = false
	clear(w.cuts)
	clear(w.streamDown)
	for _, o := range w.owners {
		o.cutOffFromStore = false
	}
	w.after(100*time.Millisecond, func() { w.addOwner() })
}

// addBoxIfNeeded brings another box where a newest owner reports tasks that are too large for the
// room beside lasting ones, as the fleet planner does.
func (w *world) addBoxIfNeeded() {
	newest := w.owners[len(w.owners)-1]
	if newest.ready && !newest.exited {
		report := newest.cell.Report(w.now)
		if report.WholeBoxes+report.WholeLateBoxes > 0 && w.countListed() <= report.LastingBoxes {
			w.logf("another box")
			w.addEndpoint(fmt.Sprintf("box-%d", w.lifeCount+1))
		}
	}
	w.after(time.Second, w.addBoxIfNeeded)
}

func (w *world) countListed() int {
	return len(w.listedEndpoints())
}

// failedSeeds are kept with what they found: 10946, lasting tasks on every box left room in
// sum and none for a larger task (no planner brought a box, and jobs stood to the end);
// 14538, an attempt on an endpoint out of reach failed, which was not counted when the
// endpoint told so later, and its task was tried once too often; 128421, lasting tasks left two
// places, on which the last of 17 tasks in a row ended 0.2 s before the end of the calm.
var failedSeeds = []uint64{10946, 14538, 128421}

// testSeeds returns the seeds that a test plays, so many unless the environment says
// otherwise.
func testSeeds(usual uint64) []uint64 {
	first, count := uint64(1), usual
	if text := os.Getenv("DAMSONWINCH_SEEDS"); text != "" {
		count, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv("DAMSONWINCH_FIRST_SEED"); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
	}
	var seeds []uint64
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestRulesHoldUnderRandomFaults plays seeds: owners are killed, frozen, cut and replaced, calls
// are lost, done and unanswered, or done late, endpoints crash and are cut off.
// DAMSONWINCH_SEEDS sets how many fresh ones are played, and DAMSONWINCH_FIRST_SEED
// where they begin.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	seeds := append(slices.Clone(failedSeeds), testSeeds(600)...)
	starts := 0
	for _, seed := range seeds {
		w := simulateFaults(seed, mutation{})
		starts += w.rules.startCount
		if w.rules.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// TestRulesDetectDisabledMechanisms takes out one mechanism after the other: some seed must
// find that.
func TestRulesDetectDisabledMechanisms(t *testing.T) {
	for name, broken := range map[string]mutation{
		"starts before their record": {startBeforeRecord: true},
		"ends forgotten early":       {ackUnrecorded: true},
		"no fencing":                 {noFencing: true},
		"records without runs":       {dropRuns: true},
		"leases over at once":        {expireLeasesEarly: true},
		"commits after a snapshot":   {commitAfterMove: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed < 2000; seed++ {
				if found := simulateFaults(seed, broken).rules.violation; found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Fatal("no seed found that the mechanism is missing")
		})
	}
}
