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

// play plays one run of a seed and returns its world.
func play(seed uint64, broken sabotage) *world {
	w := newWorld(seed, broken)
	w.begin(usualJobs)
	w.finish()
	return w
}

// Numbers of jobs and of things that go wrong in a run.
const (
	usualJobs = 8
	mishaps   = 14
)

// begin sets up boxes, an owner, clients and what goes wrong.
func (w *world) begin(jobs int) {
	w.beginCalm(jobs)
	for range mishaps {
		w.after(w.between(0, simTrouble), w.mishap)
	}
}

// beginCalm sets up boxes, an owner and clients.
func (w *world) beginCalm(jobs int) {
	for box := range w.boxCount {
		w.addEndpoint(fmt.Sprintf("box-%d", box))
	}
	w.addOwner()
	for number := range jobs {
		w.after(w.between(0, simTrouble*3/4), func() { w.client(fmt.Sprintf("job%d", number)) })
	}
}

// finish lets a run happen and judges its end.
func (w *world) finish() {
	begin := w.now
	w.at(begin.Add(simTrouble), w.heal)
	w.at(begin.Add(simTrouble+time.Second), w.supply)
	end := begin.Add(simTrouble + simCalm)
	w.run(end)
	for w.worksOn() && w.now.Before(end.Add(simCalm)) {
		w.run(w.now.Add(simStep))
	}
	if w.rules.broken == "" {
		w.rules.finished()
	}
}

// worksOn tells whether jobs are left and tasks still end one after the other: lasting jobs
// may leave so little room that a run's work is longer than the calm.
func (w *world) worksOn() bool {
	if w.rules.broken != "" || w.now.Sub(w.rules.doneAt) > max(simStep, w.lastingWork) {
		return false
	}
	return slices.ContainsFunc(w.clients, func(c *simClient) bool { return c.unfinished() })
}

// client adds a client with a job drawn at random.
func (w *world) client(id string) {
	behaviour := simTask{
		need: damsonwinch.Resources{MilliCPU: 1000 + w.random.IntN(3000), MemoryMB: 500}, length: w.between(50*time.Millisecond, w.longest),
	}
	if w.random.Float64() < 0.15 {
		behaviour.failing = 0.4
	}
	phase := wire.Phase{Count: 1 + w.random.IntN(4), Cpu: behaviour.need.MilliCPU, MemoryMb: behaviour.need.MemoryMB, EstimateMs: 300}
	phase.Copies = w.random.Float64() < 0.2
	phases := []wire.Phase{phase}
	switch {
	case w.random.Float64() < 0.15:
		// Small, so that there is room for the others for good.
		behaviour.lasting, behaviour.failing, behaviour.need.MilliCPU = true, 0, 300
		phases[0].Lasting, phases[0].Copies, phases[0].AwayAtMost, phases[0].Cpu = true, false, 1, 300
	case w.random.Float64() < 0.5:
		second := phase
		second.After, second.Copies = []int{0}, false
		phases = append(phases, second)
	}
	c := w.addClient(id, simSpec(phases...), behaviour)
	w.after(300*time.Millisecond, c.watch)
	if w.random.Float64() < 0.15 {
		w.after(w.between(100*time.Millisecond, 3*time.Second), c.cancel)
	}
}

func (w *world) anyBox() string {
	return fmt.Sprintf("box-%d", w.random.IntN(w.boxCount))
}

// mishap is one thing that goes wrong.
func (w *world) mishap() {
	if !w.trouble {
		return
	}
	newest := w.owners[len(w.owners)-1]
	box := w.anyBox()
	switch w.random.IntN(9) {
	case 0:
		w.logf("owner %s is killed", newest.name)
		newest.die("killed")
		w.after(w.between(10*time.Millisecond, time.Second), func() { w.addOwner() })
	case 1:
		w.logf("owner %s freezes", newest.name)
		newest.pausedUntil = w.now.Add(w.between(500*time.Millisecond, 4*time.Second))
		w.after(time.Second, func() { w.addOwner() })
	case 2:
		w.logf("owner %s loses the store", newest.name)
		newest.cutFromStore = true
		w.after(time.Second, func() { w.addOwner() })
		w.after(w.between(time.Second, 4*time.Second), func() { newest.cutFromStore = false })
	case 3:
		w.logf("a claim for no reason")
		w.addOwner()
	case 4, 5:
		w.cut(newest.name, box)
	case 6:
		// Cut from those to come: the next owner can't reach what this one can.
		w.cut(string(rune('A'+len(w.owners)%26)), box)
		w.after(w.between(0, 500*time.Millisecond), func() { w.addOwner() })
	case 7:
		w.crash(box)
	case 8:
		stream := len(w.streams) - 1
		w.logf("stream %d is out", stream)
		w.out[stream] = true
		w.after(w.between(100*time.Millisecond, 5*time.Second), func() { delete(w.out, stream) })
	}
}

func (w *world) cut(owner, box string) {
	w.logf("cut between %s and %s", owner, box)
	w.cuts[owner+box] = true
	w.after(w.between(500*time.Millisecond, 6*time.Second), func() { delete(w.cuts, owner+box) })
}

// crash ends the life on a box; a new one comes.
func (w *world) crash(box string) {
	for _, e := range w.endpoints {
		if e.info.Box == box && !e.dead {
			w.logf("%s on %s crashes", e.info.Life, box)
			e.die()
			w.after(w.between(100*time.Millisecond, 2*time.Second), func() { w.addEndpoint(box) })
		}
	}
}

// heal ends all trouble, with an owner that can do its work.
func (w *world) heal() {
	w.logf("calm from here on")
	w.trouble = false
	clear(w.cuts)
	clear(w.out)
	for _, o := range w.owners {
		o.cutFromStore = false
	}
	w.after(100*time.Millisecond, func() { w.addOwner() })
}

// supply brings another box where a newest owner reports tasks that are too large for the
// room beside lasting ones, as the fleet planner does.
func (w *world) supply() {
	newest := w.owners[len(w.owners)-1]
	if newest.ready && !newest.dead {
		report := newest.cell.Report(w.now)
		if report.WholeBoxes+report.WholeLateBoxes > 0 && w.boxesInUse() <= report.LastingBoxes {
			w.logf("another box")
			w.addEndpoint(fmt.Sprintf("box-%d", w.lives+1))
		}
	}
	w.after(time.Second, w.supply)
}

func (w *world) boxesInUse() int {
	return len(w.listed())
}

// failedSeeds are kept with what they found: 10946, lasting tasks on every box left room in
// sum and none for a larger task (no planner brought a box, and jobs stood to the end);
// 14538, an attempt on an endpoint out of reach failed, which was not counted when the
// endpoint told so later, and its task was tried once too often; 128421, lasting tasks left two
// places, on which the last of 17 tasks in a row ended 0.2 s before the end of the calm.
var failedSeeds = []uint64{10946, 14538, 128421}

// freshSeeds returns the seeds that a test plays, so many unless the environment says
// otherwise.
func freshSeeds(usual uint64) []uint64 {
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

// TestRandomTrouble plays seeds: owners are killed, frozen, cut and replaced, calls
// are lost, done and unanswered, or done late, endpoints crash and are cut off.
// DAMSONWINCH_SEEDS sets how many fresh ones are played, and DAMSONWINCH_FIRST_SEED
// where they begin.
func TestRandomTrouble(t *testing.T) {
	seeds := append(slices.Clone(failedSeeds), freshSeeds(600)...)
	starts := 0
	for _, seed := range seeds {
		w := play(seed, sabotage{})
		starts += w.rules.starts
		if w.rules.broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.broken, strings.Join(w.log, "\n"))
		}
	}
	t.Logf("%d seeds, %d starts", len(seeds), starts)
}

// TestRulesSeeWhatIsMissing takes out one mechanism after the other: some seed must
// find that.
func TestRulesSeeWhatIsMissing(t *testing.T) {
	for name, broken := range map[string]sabotage{
		"starts before their record": {startBeforeRecord: true},
		"ends forgotten early":       {forgetEarly: true},
		"no fencing":                 {noFencing: true},
		"records without runs":       {dropRuns: true},
		"leases over at once":        {impatient: true},
		"commits after a snapshot":   {moveAndCommit: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed < 2000; seed++ {
				if found := play(seed, broken).rules.broken; found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Fatal("no seed found that the mechanism is missing")
		})
	}
}
