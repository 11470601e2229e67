package boxplan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Sizes of a fleet in which one cell of a pool is short of boxes: the number of shards, of powered-off
// boxes, and of long-running tasks of another pool, each of which takes a box.
const (
	fleetShards      = 4
	poweredOffBoxes  = 40
	longRunningTasks = 20
)

// TestShortCellGetsPoweredOffBoxesOfOtherShards guards against a cell getting powered-off boxes of its
// own shard only. On links of 2 Mbit/s, long-running tasks held 20 of the 33 boxes of one of four
// shards. Another pool's cell in that shard had 3,200 cores of work waiting and one box to the end of
// the day, beside 18 powered-off boxes of other shards, and 7 jobs never ran. A box that changes its
// pool starts a new life there, so that it may go to any shard.
func TestShortCellGetsPoweredOffBoxesOfOtherShards(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	layout := shard.New(fleetShards, []string{"held", "short"})
	planner := boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
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
	add("off", poweredOffBoxes, func(name string) bool { return layout.BoxShard(name) != shortShard })
	add("held", longRunningTasks, func(name string) bool { return layout.BoxShard(name) == shortShard })
	planner.SetBoxes(now.Add(-time.Minute), boxes)
	held := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 100_000, Spread: longRunningTasks}
	for _, b := range boxes {
		if b.Pool == "held" {
			held.Endpoints = append(held.Endpoints, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: true, Lasting: 1})
		}
	}
	planner.SetReport(now, shard.CellName("held", shortShard), held)
	// Work for 25 boxes in one cell.
	planner.SetReport(now, shard.CellName("short", shortShard), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 25 * scriptCPU})

	received := 0
	for _, order := range planner.Plan(now) {
		if order.Pool == "short" {
			received++
		}
	}
	assert.Assert(t, received >= 25, "%d of %d powered-off boxes go to the cell that is short", received, poweredOffBoxes)
	assert.Equal(t, len(planner.Directives(shard.CellName("held", shortShard)).WithdrawUrgently), 0, "no box is taken from long-running tasks")
}
