package boxplan_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// simulatedTime is the duration of a simulation.
const simulatedTime = 90 * time.Second

// TestCellsGetBoxesUnderFaults simulates a planner, the owners of its cells and the platform. It guards against a cell
// that misses boxes for its long-running tasks and gets none in calm, against endpoints that stay withdrawn, and
// against boxes that keep orders without effect. DAMSONWINCH_SEEDS and DAMSONWINCH_FIRST_SEED choose the seeds.
func TestCellsGetBoxesUnderFaults(t *testing.T) {
	first, count := environmentNumber(t, "DAMSONWINCH_FIRST_SEED", 1), environmentNumber(t, "DAMSONWINCH_SEEDS", 20)
	var longest time.Duration
	// With 1162 an order is repeated on a box that restarts, with 2196 one that was taken back outlasts a takeover, and with
	// 5191 maintenance that was done long ago counts after one.
	seeds := []int{1162, 2196, 5191}
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		w := simulate(uint64(seed))
		longest = max(longest, w.rules.longestWait)
		if w.rules.violation != "" {
			t.Errorf("seed %d: %s", seed, w.rules.violation)
			if count == 1 {
				t.Log(strings.Join(w.log, "\n"))
			}
		}
	}
	t.Logf("the longest wait for a missing box was %s", longest)
}

// TestSimulationIsDeterministic makes sure that a seed which has found a fault finds it again.
func TestSimulationIsDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		assert.DeepEqual(t, simulate(seed).log, simulate(seed).log)
	}
}

// environmentNumber returns the number in an environment variable, or a default.
func environmentNumber(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return number
}

// simulate runs the simulation of a seed.
func simulate(seed uint64) *simWorld {
	w := newSimWorld(rand.New(rand.NewPCG(seed, 0)))
	w.faults = drawFaults(w)
	w.startPlanner()
	w.run(simulatedTime)
	return w
}

// newSimWorld returns a simulated fleet without planner.
func newSimWorld(random *rand.Rand) *simWorld {
	w := &simWorld{
		random: random, start: time.Unix(1_000_000, 0), now: time.Unix(1_000_000, 0), rules: newSimRules(),
		cells: map[string]*simCell{}, records: map[string]wire.OrderRecord{}, waveRecord: wire.WaveRecord{Wave: 1},
	}
	w.platform = &simPlatform{random: random, byName: map[string]*simBox{}, poweredOff: "off", sharedIDs: random.IntN(3) == 0, ordersPerSecond: float64(10 + random.IntN(55))}
	w.pools = []damsonwinch.Pool{{Name: "off", PoweredOff: true}}
	var working []string
	for number := range 2 + random.IntN(4) {
		working = append(working, fmt.Sprintf("pool-%d", number))
		w.pools = append(w.pools, damsonwinch.Pool{Name: working[number]})
	}
	w.layout = shard.New(1+random.IntN(2)*3, working)
	w.addCells(working)
	w.addBoxes(20 + random.IntN(60))
	return w
}

// addCells adds the cells of pools. Long-running tasks are in one cell of each pool.
func (w *simWorld) addCells(pools []string) {
	meanDemand, longRunning := 2+w.random.Float64()*10, 2+w.random.IntN(8)
	for _, pool := range pools {
		turn := w.random.IntN(4)
		for number, name := range w.layout.CellNames(pool) {
			c := &simCell{random: w.random, mean: meanDemand / float64(w.layout.Shards), turn: turn, turns: 4, reportsSpread: w.random.IntN(2) == 0}
			if number == w.layout.LongRunningJobShard(pool) {
				c.longRunning = longRunning
			}
			w.cells[name] = c
			w.cellNames = append(w.cellNames, name)
		}
	}
}

// addBoxes adds boxes to all pools, and a wave of some of them.
func (w *simWorld) addBoxes(count int) {
	for range count {
		w.platform.addBox(w.start, w.pools[w.random.IntN(len(w.pools))].Name, fmt.Sprintf("zone-%d", w.random.IntN(4)))
	}
	if w.random.IntN(2) == 0 {
		return
	}
	w.platform.wave = damsonwinch.Wave{Number: 1, MaxDown: 1 + w.random.IntN(4), Duration: w.between(20*time.Second, 60*time.Second)}
	for _, b := range w.platform.boxes {
		if w.random.IntN(2) == 0 {
			w.platform.wave.Boxes = append(w.platform.wave.Boxes, b.Name)
		}
	}
}
