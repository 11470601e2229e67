// Package shard cuts each pool into cells, so that no single node has to carry all of a
// pool's jobs: an owner on 0.8 core sees some 2,000 tasks a second to their end, and a
// pool of 900 busy boxes asks for 4,000.
//
// All pools of a fleet have the same number of shards. A box belongs to one shard by a hash
// of its name, until the planner takes it to another one with a move to another pool; a job
// belongs to one for good, by a hash of its ID. Cells share nothing: an endpoint has one owner
// for its life and a job is in one stream, so that the rules which hold within a cell need not
// know of the others.
package shard

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Layout says into how many shards a fleet is cut. It is decided once, since jobs are
// found by it; the zero value is that of a fleet for which it hasn't been decided.
type Layout struct {
	Shards int
	// Pools are those that were known then, in order of their names.
	Pools []string
}

// NewLayout returns the layout of pools that are cut into so many shards.
func NewLayout(shards int, pools []string) Layout {
	return Layout{Shards: shards, Pools: slices.Sorted(slices.Values(pools))}
}

// Decided says whether the layout has been decided.
func (l Layout) Decided() bool {
	return l.Shards > 0
}

// Sharded says whether the fleet is in more shards than one.
func (l Layout) Sharded() bool {
	return l.Shards > 1
}

// Equal says whether two layouts are the same.
func (l Layout) Equal(other Layout) bool {
	return l.Shards == other.Shards && slices.Equal(l.Pools, other.Pools)
}

// BoxShard returns the shard of a box on which there has been no order.
func (l Layout) BoxShard(box string) int {
	return l.hashShard(box)
}

// JobShard returns the shard of a job of short tasks.
func (l Layout) JobShard(id string) int {
	return l.hashShard(id)
}

// LongRunningJobShard returns the shard of a pool's lasting jobs. Their tasks mostly must not share a
// box, so that a cell with one such job holds some 24 to 38 boxes for good, hardly a third
// of them in use: they are all in one cell of the pool, and each pool's in another shard.
func (l Layout) LongRunningJobShard(pool string) int {
	if at, known := slices.BinarySearch(l.Pools, pool); known {
		return at % max(1, l.Shards)
	}
	return l.hashShard(pool)
}

func (l Layout) hashShard(name string) int {
	if l.Shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(name) % uint64(l.Shards))
}

// CellNames returns the names of a pool's cells.
func (l Layout) CellNames(pool string) []string {
	names := make([]string, l.Shards)
	for number := range names {
		names[number] = CellName(pool, number)
	}
	return names
}

// separator stands between a pool's name and a shard's number. The operator's names don't
// have it.
const separator = "@"

// CellName returns the name of a pool's cell. The first one has the pool's own name.
func CellName(pool string, number int) string {
	if number == 0 {
		return pool
	}
	return pool + separator + strconv.Itoa(number)
}

// ParseCellName returns the pool and the shard of a cell.
func ParseCellName(cell string) (pool string, number int) {
	at := strings.LastIndex(cell, separator)
	if at <= 0 {
		return cell, 0
	}
	number, err := strconv.Atoi(cell[at+len(separator):])
	if err != nil {
		return cell, 0
	}
	return cell[:at], number
}
