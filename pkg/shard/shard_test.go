package shard_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// TestCount plays the data file of fleets.
func TestCount(t *testing.T) {
	datadriven.RunTest(t, "testdata/count.txt", func(t *testing.T, d *datadriven.TestData) string {
		var boxes, pools int
		d.ScanArgs(t, "boxes", &boxes)
		d.ScanArgs(t, "pools", &pools)
		return fmt.Sprintf("shards %d\n", shard.ChooseCount(boxes, pools, weights(t, d.Input)))
	})
}

// weights reads nodes written as "number x weight".
func weights(t *testing.T, text string) []int {
	var found []int
	for _, group := range strings.Fields(text) {
		number, weight, cut := strings.Cut(group, "x")
		assert.Assert(t, cut, "%q", group)
		count, err := strconv.Atoi(number)
		assert.NilError(t, err)
		value, err := strconv.Atoi(weight)
		assert.NilError(t, err)
		for range count {
			found = append(found, value)
		}
	}
	return found
}

// TestJobsAndBoxesSpreadEvenly over the shards, and always the same way.
func TestJobsAndBoxesSpreadEvenly(t *testing.T) {
	const shards, names = 4, 4000
	layout := shard.NewLayout(shards, []string{"b", "a"})
	jobs, boxes := make([]int, shards), make([]int, shards)
	for number := range names {
		id, box := fmt.Sprintf("%016x", number), fmt.Sprintf("m-%04d", number)
		assert.Equal(t, layout.JobShard(id), shard.NewLayout(shards, nil).JobShard(id))
		jobs[layout.JobShard(id)]++
		boxes[layout.BoxShard(box)]++
	}
	for number := range shards {
		assert.Assert(t, jobs[number] > names/shards*9/10 && jobs[number] < names/shards*11/10, "jobs %v", jobs)
		assert.Assert(t, boxes[number] > names/shards*9/10 && boxes[number] < names/shards*11/10, "boxes %v", boxes)
	}
}

// TestLastingJobsOfEachPoolHaveAShardOfTheirOwn as long as there are as many shards as
// pools: each holds boxes for good. A pool that came later has one, too.
func TestLastingJobsOfEachPoolHaveAShardOfTheirOwn(t *testing.T) {
	layout := shard.NewLayout(4, []string{"d", "b", "c", "a"})
	taken := map[int]bool{}
	for _, pool := range []string{"a", "b", "c", "d"} {
		taken[layout.LongRunningJobShard(pool)] = true
	}
	assert.Equal(t, len(taken), 4)
	later := layout.LongRunningJobShard("later")
	assert.Assert(t, later >= 0 && later < 4)
	assert.Equal(t, layout.LongRunningJobShard("later"), later)
}

// TestCellsAreNamedByPoolAndShard so that both can be told from a cell's name.
func TestCellsAreNamedByPoolAndShard(t *testing.T) {
	assert.DeepEqual(t, shard.NewLayout(3, nil).CellNames("pool"), []string{"pool", "pool@1", "pool@2"})
	for number, name := range shard.NewLayout(3, nil).CellNames("pool") {
		pool, of := shard.ParseCellName(name)
		assert.Equal(t, pool, "pool")
		assert.Equal(t, of, number)
	}
	for _, name := range []string{"@fleet", "pool@x", "pool"} {
		pool, of := shard.ParseCellName(name)
		assert.Equal(t, pool, name)
		assert.Equal(t, of, 0)
	}
}

// TestOneShardHoldsAll so that small fleets are as they were.
func TestOneShardHoldsAll(t *testing.T) {
	for _, layout := range []shard.Layout{{}, shard.NewLayout(1, []string{"a", "b"})} {
		for _, name := range []string{"a", "b", "c"} {
			assert.Equal(t, layout.BoxShard(name)+layout.JobShard(name)+layout.LongRunningJobShard(name), 0)
		}
	}
}

// TestALifeStaysInItsShard through all later orders on its box: orders, crashes and orders that
// are never carried out follow each other by chance, and whoever reads the newest order since
// the life began finds the same shard.
func TestALifeStaysInItsShard(t *testing.T) {
	for name, named := range map[string]func(number int) damsonwinch.Life{
		"a new ID for each": func(number int) damsonwinch.Life { return damsonwinch.Life{ID: fmt.Sprintf("life-%d", number)} },
		"one ID for all":    func(number int) damsonwinch.Life { return damsonwinch.Life{ID: "life", StartedUnixMs: 1 + number} },
	} {
		t.Run(name, func(t *testing.T) { playOrders(t, named) })
	}
}

func playOrders(t *testing.T, named func(number int) damsonwinch.Life) {
	layout := shard.NewLayout(5, []string{"p", "q", "r"})
	moves := 0
	for seed := range uint64(2000) {
		chance := rand.New(rand.NewPCG(seed, 1))
		box, pool, number := fmt.Sprintf("box-%d", seed), "p", 0
		var placed *shard.Placement
		life := func() damsonwinch.Life { return named(number) }
		of := layout.LifeShard(box, pool, life(), placed)
		for range 40 {
			switch chance.IntN(3) {
			case 0:
				// It crashes and starts again, where it is.
				number++
				of = layout.LifeShard(box, pool, life(), placed)
			case 1:
				// An order is recorded, and perhaps carried out.
				target := []string{"", "p", "q", "r"}[chance.IntN(4)]
				if target == pool {
					target = ""
				}
				next := &shard.Placement{Pool: target, Life: life(), Shard: of, PreviousShard: of}
				if target != "" {
					next.Shard = chance.IntN(layout.Shards)
				}
				placed = next
				if chance.IntN(2) == 0 {
					number++
					if target != "" {
						pool = target
						moves++
					}
					of = layout.LifeShard(box, pool, life(), placed)
					assert.Equal(t, of, next.Shard, "seed %d: where the order takes it", seed)
				}
			}
			assert.Equal(t, layout.LifeShard(box, pool, life(), placed), of, "seed %d", seed)
		}
	}
	assert.Assert(t, moves > 5_000, "only %d moves", moves)
}
