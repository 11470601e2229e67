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

// lendFleet is a fleet in several shards, with a pool of parked boxes and two that work.
type lendFleet struct {
	now     time.Time
	layout  shard.Layout
	planner *supply.Planner
	boxes   []damsonwinch.Box
}

func newLendFleet() *lendFleet {
	f := &lendFleet{now: time.Unix(1_000_000, 0), layout: shard.NewLayout(lendShards, []string{"held", "short"})}
	f.planner = supply.New(supply.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, f.layout)
	return f
}

// add adds boxes of one shard to a pool.
func (f *lendFleet) add(pool string, count, in int) {
	for number := 0; count > 0; number++ {
		name := fmt.Sprintf("%s-%03d", pool, number)
		if f.layout.BoxShard(name) != in {
			continue
		}
		count--
		box := damsonwinch.Box{
			Name: name, Pool: pool, State: damsonwinch.BoxUp, Zone: "zone", Capacity: damsonwinch.Resources{MilliCPU: scriptCPU, MemoryMB: scriptMemory},
		}
		if pool != "off" {
			box.EndpointID = "at-" + name
		}
		f.boxes = append(f.boxes, box)
	}
}

// reports returns what a pool's cell tells of its boxes, with so many lasting tasks on each.
func (f *lendFleet) reports(pool string, lasting int) []wire.EndpointReport {
	var found []wire.EndpointReport
	for _, b := range f.boxes {
		if b.Pool == pool {
			found = append(found, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: true, Lasting: lasting})
		}
	}
	return found
}

// TestLastingTasksComeBeforeHeapsOfWork. A cell lacked one box of the 14 that its lasting tasks
// need, beside cells that had 29 of 320: theirs counted as the greater want, and the task that
// was without a box stood still for 13 s. Each box that came free went to the heap.
func TestLastingTasksComeBeforeHeapsOfWork(t *testing.T) {
	for name, parked := range map[string]int{"of a parked box": 1, "of a box that the heap has": 0} {
		t.Run(name, func(t *testing.T) {
			f := newLendFleet()
			f.add("off", parked, 1)
			f.add("held", lendLasting, 2)
			f.add("short", 3, 0)
			f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
			held := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, LastingCpu: 100_000, Spread: lendLasting + 1}
			held.Endpoints = f.reports("held", 1)
			f.planner.SetReport(f.now, shard.CellName("held", 2), held)
			heap := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: 300 * scriptCPU}
			heap.Endpoints = f.reports("short", 0)
			f.planner.SetReport(f.now, shard.CellName("short", 0), heap)

			moved := ""
			for _, order := range f.planner.Plan(f.now) {
				moved = shard.CellName(order.Pool, order.Shard)
			}
			hurried := func() int { return len(f.planner.Wishes(shard.CellName("short", 0)).Hurry) }
			assert.Equal(t, hurried(), 0, "a box that is maintained comes back soon")
			if parked > 0 {
				assert.Equal(t, moved, shard.CellName("held", 2))
				return
			}
			f.now = f.now.Add(5 * time.Second)
			f.planner.SetBoxes(f.now, f.boxes)
			f.planner.SetReport(f.now, shard.CellName("held", 2), held)
			f.planner.SetReport(f.now, shard.CellName("short", 0), heap)
			f.planner.Plan(f.now)
			assert.Equal(t, hurried(), 1, "one box of the heap's is emptied")
		})
	}
}
