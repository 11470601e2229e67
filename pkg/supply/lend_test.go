package supply_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/supply"
	"damsonwinch/pkg/wire"
)

// A fleet in which one cell of a pool is short: so many shards, parked boxes, and boxes of a
// pool whose lasting tasks hold them.
const (
	lendShards  = 4
	lendParked  = 40
	lendLasting = 20
)

// TestACellIsLentBoxesOfOtherShards. Lasting tasks held 20 of the 33 boxes of one shard of
// four, on links of 2 Mbit/s: another pool's cell there had 3,200 cores of work waiting and one
// box to the end of the day, beside 18 parked boxes of other shards, and 7 jobs never ran. A box
// that changes its pool has a new life there, and may go to any shard.
func TestACellIsLentBoxesOfOtherShards(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	layout := shard.NewLayout(lendShards, []string{"held", "short"})
	planner := supply.New(supply.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, layout)
	var boxes []damsonwinch.Box
	add := func(pool string, count int, fits func(name string) bool) {
		for number := 0; count > 0; number++ {
			name := fmt.Sprintf("%s-%03d", pool, number)
			if !fits(name) {
				continue
			}
			count--
			boxes = append(boxes, damsonwinch.Box{
				Name: name, Pool: pool, State: damsonwinch.BoxUp, Zone: "zone", Capacity: damsonwinch.Resources{MilliCPU: scriptCPU, MemoryMB: scriptMemory},
			})
			if pool != "off" {
				boxes[len(boxes)-1].EndpointID = "at-" + name
			}
		}
	}
	const shortShard = 2
	add("off", lendParked, func(name string) bool { return layout.BoxShard(name) != shortShard })
	add("held", lendLasting, func(name string) bool { return layout.BoxShard(name) == shortShard })
	planner.SetBoxes(now.Add(-time.Minute), boxes)
	held := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 100_000, Spread: lendLasting}
	for _, b := range boxes {
		if b.Pool == "held" {
			held.Endpoints = append(held.Endpoints, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: true, Lasting: 1})
		}
	}
	planner.SetReport(now, shard.CellName("held", shortShard), held)
	// Work for 25 boxes in one cell.
	planner.SetReport(now, shard.CellName("short", shortShard), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 25 * scriptCPU})

	lent := 0
	for _, order := range planner.Plan(now) {
		if order.Pool == "short" {
			lent++
		}
	}
	assert.Assert(t, lent >= 25, "%d of %d parked boxes go to the cell that is short", lent, lendParked)
	assert.Equal(t, len(planner.Wishes(shard.CellName("held", shortShard)).Hurry), 0, "none is taken from lasting tasks")
}
