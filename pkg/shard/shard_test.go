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

// TestChooseCount compares the chosen number of shards with that in the data file, for each fleet there.
func TestChooseCount(t *testing.T) {
	datadriven.RunTest(t, "testdata/count.txt", func(t *testing.T, d *datadriven.TestData) string {
		var boxes, pools int
		d.ScanArgs(t, "boxes", &boxes)
		d.ScanArgs(t, "pools", &pools)
		return fmt.Sprintf("shards %d\n", shard.ChooseCount(boxes, pools, weights(t, d.Input)))
	})
}

// weights returns the weight of each node from groups of nodes written as "number x weight", without
// the spaces.
func weights(t *testing.T, text string) []int {
	var all []int
	for _, group := range strings.Fields(text) {
		number, weight, cut := strings.Cut(group, "x")
		assert.Assert(t, cut, "%q", group)
		count, err := strconv.Atoi(number)
		assert.NilError(t, err)
		value, err := strconv.Atoi(weight)
		assert.NilError(t, err)
		for range count {
			all = append(all, value)
		}
	}
	return all
}

// TestJobsAndBoxesAreSpreadEvenlyAndDeterministically: the numbers of jobs and boxes in each shard are
// within 10 % of the mean, and the shard of a job doesn't depend on the pools of the layout.
func TestJobsAndBoxesAreSpreadEvenlyAndDeterministically(t *testing.T) {
	const shards, names = 4, 4000
	layout := shard.New(shards, []string{"b", "a"})
	jobs, boxes := make([]int, shards), make([]int, shards)
	for number := range names {
		id, box := fmt.Sprintf("%016x", number), fmt.Sprintf("m-%04d", number)
		assert.Equal(t, layout.JobShard(id), shard.New(shards, nil).JobShard(id))
		jobs[layout.JobShard(id)]++
		boxes[layout.BoxShard(box)]++
	}
	for number := range shards {
		assert.Assert(t, jobs[number] > names/shards*9/10 && jobs[number] < names/shards*11/10, "jobs %v", jobs)
		assert.Assert(t, boxes[number] > names/shards*9/10 && boxes[number] < names/shards*11/10, "boxes %v", boxes)
	}
}

// TestLongRunningJobsOfEachPoolHaveAShardOfTheirOwn: these jobs keep boxes for good. So no two pools must
// have theirs in the same shard if there are as many shards as pools. A pool that is added after the
// layout was decided gets a shard too.
func TestLongRunningJobsOfEachPoolHaveAShardOfTheirOwn(t *testing.T) {
	layout := shard.New(4, []string{"d", "b", "c", "a"})
	shards := map[int]bool{}
	for _, pool := range []string{"a", "b", "c", "d"} {
		shards[layout.LongRunningJobShard(pool)] = true
	}
	assert.Equal(t, len(shards), 4)
	later := layout.LongRunningJobShard("later")
	assert.Assert(t, later >= 0 && later < 4)
	assert.Equal(t, layout.LongRunningJobShard("later"), later)
}

// TestCellNameIsParsedToPoolAndShard: pool and shard can be read from a cell's name, and a name without
// a shard's number stands for shard 0.
func TestCellNameIsParsedToPoolAndShard(t *testing.T) {
	assert.DeepEqual(t, shard.New(3, nil).CellNames("pool"), []string{"pool", "pool@1", "pool@2"})
	for number, name := range shard.New(3, nil).CellNames("pool") {
		pool, parsed := shard.ParseCellName(name)
		assert.Equal(t, pool, "pool")
		assert.Equal(t, parsed, number)
	}
	for _, name := range []string{"@fleet", "pool@x", "pool"} {
		pool, parsed := shard.ParseCellName(name)
		assert.Equal(t, pool, name)
		assert.Equal(t, parsed, 0)
	}
}

// TestUnshardedLayoutHasShardZeroOnly: with one shard, or no layout yet, all boxes and jobs are in shard 0.
func TestUnshardedLayoutHasShardZeroOnly(t *testing.T) {
	for _, layout := range []shard.Layout{{}, shard.New(1, []string{"a", "b"})} {
		for _, name := range []string{"a", "b", "c"} {
			assert.Equal(t, layout.BoxShard(name)+layout.JobShard(name)+layout.LongRunningJobShard(name), 0)
		}
	}
}

// TestLifeStaysInItsShardThroughAllOrders: crashes, orders that are carried out and orders that are not
// follow each other at random. From its start to its end a life must stay in the same shard, whichever
// order on its box is the newest.
func TestLifeStaysInItsShardThroughAllOrders(t *testing.T) {
	for name, lifeOf := range map[string]func(number int) damsonwinch.Life{
		"a new ID for each": func(number int) damsonwinch.Life { return damsonwinch.Life{ID: fmt.Sprintf("life-%d", number)} },
		"one ID for all":    func(number int) damsonwinch.Life { return damsonwinch.Life{ID: "life", StartedUnixMs: 1 + number} },
	} {
		t.Run(name, func(t *testing.T) { checkRandomOrders(t, lifeOf) })
	}
}

// checkRandomOrders simulates, for each of 2,000 seeds, random crashes and orders on one box. It checks the
// shard of the present life after each. lifeOf returns the life with the given number, counted from 0.
func checkRandomOrders(t *testing.T, lifeOf func(number int) damsonwinch.Life) {
	layout := shard.New(5, []string{"p", "q", "r"})
	moves := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		box, pool, number := fmt.Sprintf("box-%d", seed), "p", 0
		var placement *shard.Placement
		life := func() damsonwinch.Life { return lifeOf(number) }
		current := layout.LifeShard(box, pool, life(), placement)
		for range 40 {
			switch random.IntN(3) {
			case 0:
				// The endpoint crashes and starts again in the same pool.
				number++
				current = layout.LifeShard(box, pool, life(), placement)
			case 1:
				// An order is recorded, and with a probability of one half carried out.
				target := []string{"", "p", "q", "r"}[random.IntN(4)]
				if target == pool {
					target = ""
				}
				next := &shard.Placement{Pool: target, Life: life(), Shard: current, PreviousShard: current}
				if target != "" {
					next.Shard = random.IntN(layout.Shards)
				}
				placement = next
				if random.IntN(2) == 0 {
					number++
					if target != "" {
						pool = target
						moves++
					}
					current = layout.LifeShard(box, pool, life(), placement)
					assert.Equal(t, current, next.Shard, "seed %d: the shard to which the order takes the box", seed)
				}
			}
			assert.Equal(t, layout.LifeShard(box, pool, life(), placement), current, "seed %d", seed)
		}
	}
	assert.Assert(t, moves > 5_000, "only %d moves", moves)
}
