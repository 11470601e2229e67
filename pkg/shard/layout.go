// Package shard divides each pool into cells, one per shard, so that no single node has to handle all
// of a pool's jobs: an owner on 0.8 of a core handles some 2,000 tasks a second, and a pool of 900 busy
// boxes has 4,000.
//
// All pools of a fleet have the same number of shards. A box belongs to a shard by a hash of its name,
// until the planner moves it to another pool and with that to another shard. A job belongs to one shard
// for good: by a hash of its ID, or by its pool if it is long-running. Cells share nothing: an endpoint
// has one owner throughout its life, and a job is in one stream, so that a cell needs to know nothing
// of the others.
package shard

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Layout is the division of a fleet into shards. It is decided once and never changed, because it tells
// in which cell a job is. The zero value stands for a layout that hasn't been decided.
type Layout struct {
	// Shards is the number of shards.
	Shards int
	// Pools are the names of the pools that existed when the layout was decided, in order.
	Pools []string
}

// New returns the layout that divides pools into a number of shards.
func New(shards int, pools []string) Layout {
	return Layout{Shards: shards, Pools: slices.Sorted(slices.Values(pools))}
}

// Decided reports whether the layout has been decided.
func (l Layout) Decided() bool {
	return l.Shards > 0
}

// Sharded reports whether the layout has more than one shard.
func (l Layout) Sharded() bool {
	return l.Shards > 1
}

// Equal reports whether two layouts have the same number of shards and the same pools.
func (l Layout) Equal(other Layout) bool {
	return l.Shards == other.Shards && slices.Equal(l.Pools, other.Pools)
}

// BoxShard returns the shard of a box on which there has been no order of the planner.
func (l Layout) BoxShard(box string) int {
	return l.hashShard(box)
}

// JobShard returns the shard of a job that isn't long-running.
func (l Layout) JobShard(id string) int {
	return l.hashShard(id)
}

// LongRunningJobShard returns the shard of a pool's long-running jobs. Most of their tasks must not
// share a box, so that a cell with one such job keeps some 24 to 38 boxes for good, of which hardly a
// third is in use. Therefore all such jobs of a pool are in one cell, and different pools have them in
// different shards as far as there are enough shards.
func (l Layout) LongRunningJobShard(pool string) int {
	if index, found := slices.BinarySearch(l.Pools, pool); found {
		return index % max(1, l.Shards)
	}
	return l.hashShard(pool)
}

// hashShard returns the shard of a name by its hash.
func (l Layout) hashShard(name string) int {
	if l.Shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(name) % uint64(l.Shards))
}

// CellNames returns the names of a pool's cells, in order of their shards. There are none while the
// layout is undecided.
func (l Layout) CellNames(pool string) []string {
	names := make([]string, l.Shards)
	for number := range names {
		names[number] = CellName(pool, number)
	}
	return names
}

// separator stands between a pool's name and a shard's number in the name of a cell. The operator's
// names of pools don't contain it.
const separator = "@"

// CellName returns the name of a pool's cell in the shard with the given number. In shard 0 it is the
// pool's own name.
func CellName(pool string, number int) string {
	if number == 0 {
		return pool
	}
	return pool + separator + strconv.Itoa(number)
}

// IsPoolCell reports whether a name is that of a pool's cell. The names of other cells, such as the one that stands for
// the planner, begin with the separator.
func IsPoolCell(cell string) bool {
	return !strings.HasPrefix(cell, separator)
}

// ParseCellName returns the pool and the number of the shard of a cell, given its name. A name that
// doesn't end with a shard's number is taken for a pool's own name, which is its cell in shard 0.
func ParseCellName(cell string) (pool string, number int) {
	index := strings.LastIndex(cell, separator)
	if index <= 0 {
		return cell, 0
	}
	number, err := strconv.Atoi(cell[index+len(separator):])
	if err != nil {
		return cell, 0
	}
	return cell[:index], number
}
