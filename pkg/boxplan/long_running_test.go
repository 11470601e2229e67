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

// shardedFleet is a planner's fleet in several shards, with a pool of powered-off boxes and two other
// pools: "held", whose boxes are held by long-running tasks, and "short", which lacks boxes.
type shardedFleet struct {
	now     time.Time
	layout  shard.Layout
	planner *boxplan.Planner
	boxes   []damsonwinch.Box
	// withdrawn and silent hold the endpoints of the pool "short" that its cells report so.
	withdrawn, silent map[string]bool
}

// newShardedFleet returns a fleet with its three pools and without boxes.
func newShardedFleet() *shardedFleet {
	f := &shardedFleet{now: time.Unix(1_000_000, 0), layout: shard.New(fleetShards, []string{"held", "short"}), withdrawn: map[string]bool{}, silent: map[string]bool{}}
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, f.layout)
	return f
}

// add adds count boxes of one shard to a pool.
func (f *shardedFleet) add(pool string, count, shardNumber int) {
	for number := 0; count > 0; number++ {
		name := fmt.Sprintf("%s-%03d", pool, number)
		if f.layout.BoxShard(name) != shardNumber {
			continue
		}
		count--
		box := damsonwinch.Box{
			Name: name, Pool: pool, State: damsonwinch.BoxUp, Zone: "zone", Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
		}
		if pool != "off" {
			box.EndpointID = "at-" + name
		}
		f.boxes = append(f.boxes, box)
	}
}

// reports returns the endpoint reports for a pool's boxes, each with the given number of long-running
// tasks.
func (f *shardedFleet) reports(pool string, longRunning int) []wire.EndpointReport {
	var reported []wire.EndpointReport
	for _, b := range f.boxes {
		if b.Pool == pool {
			reported = append(reported, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: true, Lasting: longRunning})
		}
	}
	return reported
}

// TestLongRunningTasksGetBoxesBeforeBacklog guards against a cell's large backlog taking the box that
// a long-running task of another cell needs. A cell lacked one of the 14 boxes for its long-running
// tasks while other cells had only 29 of the 320 boxes for their backlog. Those counted as needier and
// got each box that became free, and the long-running task didn't run for 13 s.
func TestLongRunningTasksGetBoxesBeforeBacklog(t *testing.T) {
	for name, poweredOff := range map[string]int{"with a powered-off box": 1, "with a box of the backlog's cell": 0} {
		t.Run(name, func(t *testing.T) {
			f := newShardedFleet()
			f.add("off", poweredOff, 1)
			f.add("held", longRunningTasks, 2)
			f.add("short", 3, 0)
			f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
			held := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 100_000, Spread: longRunningTasks + 1}
			held.Endpoints = f.reports("held", 1)
			f.planner.SetReport(f.now, shard.CellName("held", 2), held)
			backlog := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 300 * scriptMilliCPU}
			backlog.Endpoints = f.reports("short", 0)
			f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)

			movedTo := ""
			for _, order := range f.planner.Plan(f.now) {
				movedTo = shard.CellName(order.Pool, order.Shard)
			}
			urgent := func() int { return len(f.planner.Directives(shard.CellName("short", 0)).WithdrawUrgently) }
			assert.Equal(t, urgent(), 0, "a box that is being maintained comes back soon")
			if poweredOff > 0 {
				assert.Equal(t, movedTo, shard.CellName("held", 2))
				return
			}
			f.now = f.now.Add(5 * time.Second)
			f.planner.SetBoxes(f.now, f.boxes)
			f.planner.SetReport(f.now, shard.CellName("held", 2), held)
			f.planner.SetReport(f.now, shard.CellName("short", 0), backlog)
			f.planner.Plan(f.now)
			assert.Equal(t, urgent(), 1, "one box of the cell with the backlog is withdrawn")
		})
	}
}
